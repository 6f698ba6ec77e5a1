package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// linkedUpstreams are fake upstreams behind links that can be cut. Another box reaches them meanwhile.
type linkedUpstreams struct {
	*fixture
	mu sync.Mutex
	// cut makes all attempts over own links fail: after dialTime as not sent, or after lostTime as broken if the box has
	// an idle connection to the upstream.
	cut      bool
	dialTime time.Duration
	lostTime time.Duration
	idle     map[string]bool
	// noExit means that there is no other box.
	noExit bool
	// own and tunnelled count the attempts by their way; timeLeft has that of the latest one.
	own, tunnelled int
	timeLeft       time.Duration
}

func newLinkedUpstreams() *linkedUpstreams {
	l := &linkedUpstreams{
		fixture: newFixture(func(string, int) behavior { return succeeds }, 7), dialTime: 400 * time.Millisecond, lostTime: 1200 * time.Millisecond,
		idle: map[string]bool{},
	}
	succeed := l.Upstreams.Send
	l.Upstreams.Send = func(ctx context.Context, to *fleet.Endpoint, attempt Attempt) (*Answer, error) {
		if err := l.connect(to.ID, attempt); err != nil {
			return nil, err
		}
		return succeed(ctx, to, attempt)
	}
	l.Upstreams.Accepts = func(context.Context, fleet.Upstream) bool { return !l.isCut() }
	l.Upstreams.RefusesConnection = func(context.Context, fleet.Upstream) bool { return l.isCut() }
	l.Upstreams.Forget = func(string) {}
	l.Upstreams.CloseIdle = func(bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		clear(l.idle)
	}
	l.Tunnels = Tunnels{
		Check:      func(context.Context, string) (bool, error) { l.Links.RecordCarried(); return true, nil },
		Open:       func() int { return 1 },
		ExitLeaves: func() bool { return false },
	}
	l.watchReach()
	l.watchLinks()
	return l
}

func (l *linkedUpstreams) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// connect returns the error of an attempt whose way is cut, after the time that it takes to show.
func (l *linkedUpstreams) connect(upstream string, attempt Attempt) error {
	l.mu.Lock()
	l.timeLeft = attempt.TimeLeft
	cut, idle := l.cut, l.idle[upstream]
	switch {
	case attempt.Tunnelled && l.noExit:
		l.mu.Unlock()
		l.Links.RecordNotCarried()
		return fmt.Errorf("%w: %w", ErrNoTunnel, ErrNotSent)
	case attempt.Tunnelled:
		l.tunnelled++
		l.mu.Unlock()
		l.Links.RecordCarried()
		return nil
	}
	l.own++
	l.idle[upstream] = !cut
	l.mu.Unlock()
	switch {
	case cut && idle:
		time.Sleep(l.lostTime)
		return ErrBroken
	case cut:
		time.Sleep(l.dialTime)
		return ErrNotSent
	}
	return nil
}

func (l *linkedUpstreams) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// counts returns how many attempts were sent over own links and through tunnels since the last call.
func (l *linkedUpstreams) counts() (own, tunnelled int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, tunnelled = l.own, l.tunnelled
	l.own, l.tunnelled = 0, 0
	return own, tunnelled
}

// askEach sends requests one after the other at an interval, without waiting for their answers, and returns how many
// were served and the longest time that one took.
func (l *linkedUpstreams) askEach(name, path, model string, requests int, interval time.Duration) (served int, longest time.Duration) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n := range requests {
		callers.Go(func() {
			begun := time.Now()
			got := l.ask(context.Background(), fmt.Sprint(name, n), path, model)
			mu.Lock()
			defer mu.Unlock()
			if got.Code == http.StatusOK && !got.aborted {
				served++
			}
			longest = max(longest, time.Since(begun))
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return served, longest
}

var _ = Describe("a box without links to any upstream", func() {
	DescribeTable("serves through tunnels: from the first request that finds no connection, and without delay once it knows", func(path, model string, interval time.Duration) {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			l.setCut(true)
			served, longest := l.askEach("first", path, model, 20, interval)
			Expect(served).To(Equal(20))
			Expect(longest).To(BeNumerically("<=", 500*time.Millisecond))
			Expect(l.Links.Lost()).To(BeTrue())
			l.counts()
			served, longest = l.askEach("later", path, model, 20, interval)
			Expect(served).To(Equal(20))
			Expect(longest).To(BeNumerically("<=", 10*time.Millisecond))
			own, tunnelled := l.counts()
			Expect(own).To(BeZero())
			Expect(tunnelled).To(Equal(20))
		})
	},
		Entry("ten requests a second that may run once", "/once/", "", 100*time.Millisecond),
		Entry("a hundred a second", "/safe/", "", 10*time.Millisecond),
		Entry("streams that cannot be resumed", "/strict/", "m", 100*time.Millisecond),
	)

	It("loses no more than the requests that it sent on idle connections before it knew, and sends none of them again that may have run", func() {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			served, _ := l.askEach("before", "/once/", "", 40, 5*time.Millisecond)
			Expect(served).To(Equal(40))
			l.setCut(true)
			served, _ = l.askEach("cut", "/once/", "", 40, 100*time.Millisecond)
			Expect(served).To(BeNumerically(">=", 40-14), "1.2 s until the first connection breaks, at ten a second")
			for id, runs := range l.upstreams.runs {
				Expect(runs).To(Equal(1), id)
			}
			Expect(l.Links.Lost()).To(BeTrue())
		})
	})

	It("uses its own links again soon after the cut, and none before", func() {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			ctx, stop := context.WithCancel(context.Background())
			var probing sync.WaitGroup
			probing.Go(func() { l.RunLinks(ctx) })
			l.setCut(true)
			l.askEach("cut", "/safe/", "", 100, 50*time.Millisecond)
			Expect(l.Links.Lost()).To(BeTrue())
			l.setCut(false)
			time.Sleep(2 * time.Second)
			Expect(l.Links.Lost()).To(BeFalse())
			l.counts()
			served, _ := l.askEach("after", "/safe/", "", 20, 10*time.Millisecond)
			Expect(served).To(Equal(20))
			own, tunnelled := l.counts()
			Expect(own).To(Equal(20))
			Expect(tunnelled).To(BeZero())
			stop()
			probing.Wait()
		})
	})

	It("tells upstreams the time that is left when it sends, not when it first tried", func() {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			l.setCut(true)
			Expect(l.ask(context.Background(), "r", "/safe/", "").Code).To(Equal(http.StatusOK))
			Expect(l.timeLeft).To(BeNumerically("<=", 2600*time.Millisecond))
		})
	})

	It("neither holds a request for crashes nor reports failures of upstreams that only it does not reach", func() {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			l.dialTime, l.lostTime = time.Millisecond, time.Millisecond
			l.askEach("before", "/safe/", "", 40, 5*time.Millisecond)
			l.Loads.TakeObservations()
			l.setCut(true)
			served, _ := l.askEach("same", "/safe/", "", 40, 5*time.Millisecond)
			Expect(served).To(BeNumerically(">=", 39), "the first request may use both of its runs")
			Expect(l.Quarantine.Empty()).To(BeTrue())
			failed := 0
			for _, outcome := range l.Loads.TakeObservations().Outcomes {
				failed += outcome.Failed
			}
			Expect(failed).To(BeNumerically("<=", 1), "only the first failure may be that of an upstream")
		})
	})

	It("reaches the only upstream of a service at each request while open connections live on and new ones are refused", func() {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			l.dialTime = 0
			l.Directory.SetList(2, []fleet.Upstream{{ID: "p0", Service: "plain", Slots: 8, Revision: 1}}, time.Time{})
			l.setCut(true)
			for n := range 200 {
				l.Links.RecordContact() // A stream of another service lives on.
				Expect(l.ask(context.Background(), fmt.Sprint("r", n), "/once/", "").Code).To(Equal(http.StatusOK), "%d", n)
				time.Sleep(20 * time.Millisecond)
			}
			Expect(l.Links.Lost()).To(BeFalse())
			own, tunnelled := l.counts()
			Expect(tunnelled).To(Equal(200))
			Expect(own).To(BeNumerically("<=", 5), "one a second")
		})
	})

	It("refuses soon, as before, if no other box can carry its connections", func() {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			l.noExit = true
			l.setCut(true)
			served, longest := l.askEach("r", "/once/", "", 20, 100*time.Millisecond)
			Expect(served).To(BeZero())
			Expect(longest).To(BeNumerically("<=", 4*l.dialTime+100*time.Millisecond))
			Expect(l.Links.Lost()).To(BeFalse())
		})
	})

	It("refuses at once if its links are known to be lost and the other boxes lose theirs", func() {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			l.setCut(true)
			l.askEach("known", "/once/", "", 20, 100*time.Millisecond)
			Expect(l.Links.Lost()).To(BeTrue())
			l.mu.Lock()
			l.noExit = true
			l.mu.Unlock()
			for _, path := range []string{"/once/", "/safe/"} {
				served, longest := l.askEach(path, path, "", 20, 10*time.Millisecond)
				Expect(served).To(BeZero())
				Expect(longest).To(BeZero())
			}
			got := l.ask(context.Background(), "r", "/strict/", "m")
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(got.Header().Get("Retry-After")).NotTo(BeEmpty())
			Expect(l.upstreams.runs).NotTo(HaveKey("r"))
		})
	})
})

var _ = Describe("a box whose links hold", func() {
	It("opens no tunnel for an upstream that is down while others answer", func() {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			send := l.Upstreams.Send
			l.Upstreams.Send = func(ctx context.Context, to *fleet.Endpoint, attempt Attempt) (*Answer, error) {
				if to.ID == "p0" {
					time.Sleep(l.dialTime)
					return nil, ErrNotSent
				}
				return send(ctx, to, attempt)
			}
			served, _ := l.askEach("r", "/once/", "", 400, 10*time.Millisecond)
			Expect(served).To(Equal(400))
			_, tunnelled := l.counts()
			Expect(tunnelled).To(BeZero())
			Expect(l.Links.Suspected()).To(BeFalse())
		})
	})

	It("does not suspect its links where upstreams answer other requests", func() {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			l.Upstreams.Send = func(context.Context, *fleet.Endpoint, Attempt) (*Answer, error) {
				return nil, errors.WithType(ErrOtherAnswer, ErrBroken)
			}
			l.askEach("r", "/once/", "", 10, 10*time.Millisecond)
			Expect(l.Links.Suspected()).To(BeFalse())
			Expect(l.Metrics.GetOrCreateCounter("ospreymoor_answers_to_other_requests_total").Get()).To(BeEquivalentTo(10))
		})
	})

	It("opens no tunnel to an upstream with a rate limit without a grant for the second way", func() {
		spectest.Bubble(func() {
			l := newLinkedUpstreams()
			asked := 0
			l.AskRate = func(context.Context, dispatch.RateRequest) (dispatch.RateGrant, error) {
				asked++
				return dispatch.RateGrant{Granted: asked == 1, Wait: time.Second}, nil
			}
			l.Directory.SetList(2, []fleet.Upstream{{ID: "p0", Service: "plain", Slots: 8, Revision: 1}}, time.Time{})
			perSecond := 1.0
			l.Directory.RecordNotice("p0", fleet.Notice{Limit: &perSecond, Source: fleet.SourceRequest})
			l.setCut(true)
			Expect(l.ask(context.Background(), "r", "/once/", "").Code).To(Equal(http.StatusServiceUnavailable))
			_, tunnelled := l.counts()
			Expect(tunnelled).To(BeZero())
		})
	})
})
