package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// promptFleet simulates many boxes and a few engines that read prompts one after the other. Each box knows the
// loads of the other boxes as of the last exchange.
type promptFleet struct {
	boxes   []*Gateway
	mu      sync.Mutex
	read    map[string][]time.Time // When each prompt was read, by engine.
	prompts int
	// slow is how many engines are slower by slowFactor. within is the longest that an engine reads prompts during
	// one event, before slowFactor is applied; 0 sets no limit.
	slow   int
	within time.Duration
	// longer is the factor by which every fourth prompt is longer; 0 leaves all prompts alike.
	longer float64
	// longPauses counts the prompts during which the streams at their engine paused for longer than the target.
	longPauses int
	// firstEventTimes is the sum of the times to the first event.
	firstEventTimes time.Duration
}

const (
	readingBoxes     = 60
	readingEngines   = 10
	readingTokens    = 9190
	readingTime      = 242 * time.Millisecond
	readingSteps     = 30 * time.Millisecond
	exchangeInterval = 400 * time.Millisecond
	readingGap       = 500 * time.Millisecond
	slowFactor       = 1.3
)

func newPromptFleet(reserve bool) *promptFleet {
	f := &promptFleet{read: map[string][]time.Time{}}
	reservations := dispatch.NewReservations()
	engines := &routes.Engines{Slots: 64, CacheTokens: 1_000_000, EventTokens: 6, Models: []routes.Model{{Name: "m"}}}
	table := routes.New(1, []routes.Route{{
		Name: "chat", Host: "h", PathPrefix: "/", Kind: routes.Stream, Resumable: true, Timeout: 5 * time.Second,
		Target: 800 * time.Millisecond, GapTarget: readingGap, MaxAttempts: 1, Shares: []routes.Share{{Service: "s", Weight: 1}},
	}}, []routes.Service{{Name: "s", Engines: engines}}, routes.Limits{})
	var list []fleet.Upstream
	for n := range readingEngines {
		list = append(list, fleet.Upstream{ID: fmt.Sprint("e", n), Service: "s", Slots: 64, Revision: 1, Models: []fleet.Holding{{Model: "m"}}})
	}
	for range readingBoxes {
		loads := dispatch.NewLoadTracker()
		box := New(Config{
			Directory: fleet.New(), Loads: loads, Chooser: &dispatch.Chooser{Loads: loads}, Upstreams: Upstreams{Send: f.send},
			Ensure: func(context.Context, residency.Want) (residency.EnsureResult, error) {
				return residency.EnsureResult{}, residency.ErrNoCapacity
			},
			Boxes: func() int { return readingBoxes }, Log: zap.NewNop(), Metrics: metrics.NewSet(),
		})
		if reserve {
			box.Reserve = func(_ context.Context, asked dispatch.Reservation) (dispatch.ReservationAnswer, error) {
				time.Sleep(3 * time.Millisecond)
				return reservations.Reserve(asked, time.Now()), nil
			}
			box.FinishPrompt = func(_ context.Context, finished dispatch.FinishedPrompt) { reservations.Finish(finished, time.Now()) }
		}
		box.SetTable(table)
		box.Directory.SetList(1, list, time.Time{})
		f.boxes = append(f.boxes, box)
	}
	return f
}

// send reads the prompt after those that the engine already has, and answers with a stream of half a second.
func (f *promptFleet) send(_ context.Context, to *fleet.Endpoint, attempt Attempt) (*Answer, error) {
	f.mu.Lock()
	now := time.Now()
	until := now
	read := f.read[to.ID]
	if len(read) > 0 && read[len(read)-1].After(now) {
		until = read[len(read)-1]
	}
	reading, most := f.readingAt(to.ID, attempt.Request.PromptTokens)
	until = until.Add(reading)
	f.read[to.ID] = append(read, until)
	f.prompts++
	// An event takes its decoding steps and the time of the prompts that are read meanwhile.
	together := reading
	for _, end := range read {
		together += max(0, min(reading, end.Sub(until.Add(-readingGap))))
	}
	paused := readingSteps + min(most, together)
	if paused > readingGap {
		f.longPauses++
	}
	f.firstEventTimes += until.Sub(attempt.Request.Arrived)
	f.mu.Unlock()
	time.Sleep(until.Sub(now))
	reader, writer := io.Pipe()
	go func() {
		for n, event := range strings.SplitAfter(events(""), "\n\n") {
			_, _ = io.WriteString(writer, event)
			if n == 0 {
				time.Sleep(max(0, paused-80*time.Millisecond))
			}
			time.Sleep(80 * time.Millisecond)
		}
		_ = writer.Close()
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

// readingAt returns how long an engine reads a prompt, and the longest that it reads prompts during one event.
func (f *promptFleet) readingAt(engine string, tokens int) (reading, most time.Duration) {
	reading, most = readingTime*time.Duration(tokens)/readingTokens, f.within
	if most == 0 {
		most = time.Hour
	}
	var n int
	_, _ = fmt.Sscanf(engine, "e%d", &n)
	if n < f.slow {
		reading, most = time.Duration(slowFactor*float64(reading)), time.Duration(slowFactor*float64(most))
	}
	return reading, most
}

// exchange gives each box the current loads and the observations of the others.
func (f *promptFleet) exchange() {
	for i, box := range f.boxes {
		observed := box.Loads.TakeObservations()
		for j, other := range f.boxes {
			if i != j {
				other.Loads.MergeObservations(observed)
			}
		}
	}
	own := make([]map[string]dispatch.Load, len(f.boxes))
	for i, box := range f.boxes {
		own[i] = box.Loads.Loads()
	}
	for i, box := range f.boxes {
		others := map[string]dispatch.Load{}
		for j, loads := range own {
			for id, load := range loads {
				if j != i {
					sum := others[id]
					sum.Add(load)
					others[id] = sum
				}
			}
		}
		box.Loads.SetRemoteLoads(others, time.Now())
	}
}

// simulate sends prompts for 20 s at a rate that keeps the engines reading for the given share of their time.
func (f *promptFleet) simulate(utilization float64) {
	random := rand.New(rand.NewPCG(7, 7))
	perSecond := utilization * readingEngines / readingTime.Seconds()
	var running sync.WaitGroup
	next := time.Now()
	for n := 0; ; n++ {
		pause := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		begun := time.Now()
		for until := begun.Add(pause); time.Now().Before(until); {
			if !time.Now().Before(next) {
				f.exchange()
				next = next.Add(exchangeInterval)
			}
			time.Sleep(min(time.Until(until), time.Until(next)))
		}
		if float64(n) > 20*perSecond {
			break
		}
		box := f.boxes[random.IntN(readingBoxes)]
		tokens := readingTokens
		if f.longer > 0 && n%4 == 0 {
			tokens = int(f.longer * readingTokens)
		}
		request := &Request{
			ID: fmt.Sprint(n), Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second), Method: http.MethodPost, URI: "/x", Path: "/x",
			Host: "h", Header: http.Header{}, Model: "m", PromptTokens: tokens, AnswerTokens: 60,
		}
		running.Go(func() {
			_ = box.Serve(context.Background(), &caller{ResponseRecorder: httptest.NewRecorder()}, request)
		})
	}
	running.Wait()
}

var _ = Describe("prompts of many boxes at few engines", func() {
	// Boxes choose by chance, too: several plays differ less than one.
	const plays = 3
	play := func(utilization float64, fleet func() *promptFleet) (long float64, first time.Duration) {
		sum := promptFleet{}
		for range plays {
			spectest.Bubble(func() {
				f := fleet()
				f.simulate(utilization)
				sum.longPauses, sum.prompts, sum.firstEventTimes = sum.longPauses+f.longPauses, sum.prompts+f.prompts, sum.firstEventTimes+f.firstEventTimes
			})
		}
		return float64(sum.longPauses) / float64(sum.prompts), (sum.firstEventTimes / time.Duration(sum.prompts)).Round(time.Millisecond)
	}

	DescribeTable("are read together less often where engines' time is reserved",
		func(utilization, mostLong float64) {
			longBefore, firstBefore := play(utilization, func() *promptFleet { return newPromptFleet(false) })
			long, first := play(utilization, func() *promptFleet { return newPromptFleet(true) })
			GinkgoWriter.Printf("| %.1f | %.3f, %v | %.3f, %v |\n", utilization, longBefore, firstBefore, long, first)
			Expect(long).To(BeNumerically("<=", mostLong))
			Expect(long).To(BeNumerically("<", longBefore/2))
			Expect(first).To(BeNumerically("<=", firstBefore))
		},
		Entry("engines that read a third of their time", 0.33, 0.02),
		Entry("half", 0.5, 0.1),
		Entry("two thirds", 0.67, 0.3),
	)

	// The fast engines pause streams for 0.42 s at most, however many prompts wait there. The slow ones pause them
	// for up to 0.54 s, and for 0.53 s by one of the longer prompts alone.
	DescribeTable("avoid engines whose streams they would pause for too long, where there are others",
		func(utilization, mostLong float64, mostFirst time.Duration) {
			long, first := play(utilization, func() *promptFleet {
				f := newPromptFleet(true)
				f.slow, f.within, f.longer = 3, 390*time.Millisecond, 1.6
				return f
			})
			GinkgoWriter.Printf("| %.2f | %.3f, %v |\n", utilization, long, first)
			Expect(long).To(BeNumerically("<=", mostLong))
			Expect(first).To(BeNumerically("<=", mostFirst))
		},
		Entry("engines that read half of their time", 0.5, 0.06, 450*time.Millisecond),
		Entry("two thirds", 0.67, 0.055, 580*time.Millisecond),
		Entry("three quarters", 0.75, 0.1, 700*time.Millisecond),
	)
})
