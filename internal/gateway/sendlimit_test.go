package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// Requests that waited when their box began to stop were sent late in the grace time, and cut off at its end.
var _ = Describe("a box that stops", func() {
	const (
		// stopsAfter is when the box stops sending, and graceLeft the time from then to the end of the grace time.
		stopsAfter = 100 * time.Millisecond
		graceLeft  = time.Second
	)
	// play asks for a path. The box stops sending while the request waits, as f has it do.
	play := func(path string, deadline time.Duration, choose func(id string, n int) behavior, f func(*fixture)) (*caller, *fakeUpstreams) {
		var got *caller
		var upstreams *fakeUpstreams
		spectest.Bubble(func() {
			s := newFixture(choose, 1)
			upstreams = s.upstreams
			f(s)
			time.AfterFunc(stopsAfter, func() { s.StopSending(time.Now().Add(graceLeft)) })
			request := streamRequest("r")
			request.URI, request.Path, request.Deadline = path, path, time.Now().Add(deadline)
			if path != "/stream/x" {
				request.Model = ""
			}
			got = s.serve(context.Background(), request)
			time.Sleep(time.Minute)
		})
		return got, upstreams
	}
	// awaitsConnection has the first attempt wait for its connection until the box has stopped sending.
	awaitsConnection := func(s *fixture) {
		s.upstreams.connect = func(string) { time.Sleep(2 * stopsAfter) }
	}
	// awaitsUpstream has the upstreams listed after the box has stopped sending.
	awaitsUpstream := func(s *fixture) {
		s.Directory = fleet.New()
		time.AfterFunc(3*stopsAfter/2, func() { s.Directory.SetList(3, fixtureUpstreams(), time.Now()) })
	}

	DescribeTable("sends no request that may outlast its grace time", func(f func(*fixture)) {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
			got, upstreams := play(path, 2*graceLeft, always(succeeds), f)
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable), path)
			Expect(got.Body.String()).To(ContainSubstring(string(reasonStopping)), path)
			Expect(got.Header().Get("Retry-After")).NotTo(BeEmpty(), path)
			Expect(upstreams.runs).To(BeEmpty(), path)
		}
	},
		Entry("that waits for a connection", awaitsConnection),
		Entry("that waits for an upstream", awaitsUpstream),
	)

	DescribeTable("sends a request that ends within its grace time", func(f func(*fixture)) {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
			got, _ := play(path, graceLeft, always(succeeds), f)
			Expect(got.Code).To(Equal(http.StatusOK), path)
		}
	},
		Entry("that waits for a connection", awaitsConnection),
		Entry("that waits for an upstream", awaitsUpstream),
	)

	It("does not send a request again that may outlast its grace time", func() {
		fails := func(string, int) behavior { return brokenBeforeHead }
		slowly := func(s *fixture) {
			send := s.Upstreams.Send
			s.Upstreams.Send = func(ctx context.Context, to *fleet.Endpoint, attempt Attempt) (*Answer, error) {
				answer, err := send(ctx, to, attempt)
				time.Sleep(2 * stopsAfter)
				return answer, err
			}
		}
		got, upstreams := play("/safe/x", 2*graceLeft, fails, slowly)
		Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(upstreams.sends["r"]).To(Equal(1))
		got, upstreams = play("/once/x", 2*graceLeft, fails, slowly)
		Expect(got.Code).To(Equal(http.StatusBadGateway))
		Expect(upstreams.sends["r"]).To(Equal(1))
	})

	It("goes on with a stream whose events its caller has", func() {
		breaksOff := func(_ string, n int) behavior { return []behavior{brokenBody, succeeds}[min(n, 2)-1] }
		got, upstreams := play("/stream/x", 2*graceLeft, breaksOff, func(s *fixture) {
			send := s.Upstreams.Send
			s.Upstreams.Send = func(ctx context.Context, to *fleet.Endpoint, attempt Attempt) (*Answer, error) {
				answer, err := send(ctx, to, attempt)
				if attempt.LastEventID == "" {
					answer.Body = &delayedEnd{ReadCloser: answer.Body, delay: 2 * stopsAfter}
				}
				return answer, err
			}
		})
		Expect(got.Code).To(Equal(http.StatusOK))
		Expect(got.Body.String()).To(Equal(events("")))
		Expect(upstreams.sends["r"]).To(Equal(2))
	})
})

// drainWay is a way to decide what a box that stops sends.
type drainWay struct {
	name string
	// limited means that the send limit is asked, with the request's deadline if byDeadline is set.
	limited, byDeadline bool
}

// drainTally counts requests by how a drain ended for them.
type drainTally struct{ answered, refused, refusedInVain, cutOff int }

// replayDrain replays requests of a box that is stopped with a grace time of 8 s.
func replayDrain(way drainWay) (tally drainTally) {
	const (
		grace    = 8 * time.Second
		requests = 4000
	)
	spectest.Bubble(func() {
		g := &Gateway{}
		f := NewFront(http.NotFoundHandler(), g)
		stopAt := time.Now().Add(3 * time.Second)
		killAt := stopAt.Add(grace)
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var running sync.WaitGroup
		for range requests {
			// Requests come until the box refuses them. One in ten waits for long: for its body, a place or a load.
			arrives := time.Duration(random.Float64() * float64(3*time.Second+acceptTime))
			waits := time.Duration(random.ExpFloat64() * float64(100*time.Millisecond))
			if random.IntN(10) == 0 {
				waits = time.Duration(random.Float64() * float64(5*time.Second))
			}
			allowed := []time.Duration{time.Second, 5 * time.Second, 12 * time.Second, 15 * time.Second}[random.IntN(4)]
			runs := time.Duration(random.ExpFloat64() * float64(allowed) / 5)
			running.Go(func() {
				time.Sleep(arrives)
				deadline := time.Now().Add(allowed)
				asked := deadline
				if !way.byDeadline {
					asked = time.Time{}
				}
				mayAnswer := func(at time.Time) bool { return at.Before(killAt) && !at.After(deadline) }
				inTime := mayAnswer(time.Now().Add(waits + runs))
				refused := make(chan struct{})
				if way.limited {
					stop := g.sendLimit.onEnd(asked, func() { close(refused) })
					defer stop()
				}
				waiting := time.NewTimer(min(waits, time.Until(deadline)))
				defer waiting.Stop()
				late := false
				select {
				case <-refused:
					late = true
				case <-waiting.C:
					late = way.limited && !g.sendLimit.allows(asked)
				}
				mu.Lock()
				defer mu.Unlock()
				switch end := time.Now().Add(runs); {
				case late && inTime:
					tally.refusedInVain++
				case late:
					tally.refused++
				case !end.Before(killAt) && deadline.After(killAt):
					tally.cutOff++
				default:
					tally.answered++ // With a timeout, if its deadline passed.
				}
			})
		}
		time.Sleep(time.Until(stopAt))
		f.Drain(grace)
		running.Wait()
	})
	return tally
}

var _ = Describe("ways to decide what a box that stops sends", func() {
	It("by their deadlines cut off fewer requests than without a limit, and refuse fewer than no sending at all", func() {
		tallies := map[string]drainTally{}
		for _, way := range []drainWay{{"without a limit", false, false}, {"no sending", true, false}, {"by deadlines", true, true}} {
			tallies[way.name] = replayDrain(way)
			GinkgoWriter.Printf("%s: %+v\n", way.name, tallies[way.name])
		}
		Expect(tallies["by deadlines"].cutOff).To(Equal(tallies["no sending"].cutOff), "only those that were sent before")
		Expect(tallies["by deadlines"].cutOff).To(BeNumerically("<", tallies["without a limit"].cutOff))
		Expect(tallies["by deadlines"].refusedInVain).To(BeNumerically("<", tallies["no sending"].refusedInVain))
	})
})

// delayedEnd delays the end of a body, and its error.
type delayedEnd struct {
	io.ReadCloser
	delay time.Duration
}

// Read reads from the body.
func (d *delayedEnd) Read(p []byte) (int, error) {
	n, err := d.ReadCloser.Read(p)
	if err != nil {
		time.Sleep(d.delay)
	}
	return n, err
}
