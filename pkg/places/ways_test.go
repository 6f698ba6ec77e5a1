package places

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestPlaces(t *testing.T) { spectest.Run(t, "Places") }

// byKeeper asks the keeper for a place before each sending.
func byKeeper(before order) way {
	return func(ctx context.Context, r *replay, q *replayRequest) outcome {
		r.keeper.mu.Lock()
		if s := r.keeper.services["s"]; s != nil {
			s.account.before = before
		}
		r.keeper.mu.Unlock()
		for range 4 {
			ask := Ask{Service: "s", ID: rand.Uint64(), Hall: fmt.Sprint(q.box % 3), Urgency: q.urgency}
			upstream, ok := r.place(ctx, q, ask)
			if !ok {
				return turnedAway
			}
			if upstream == "" {
				return byLoads(ctx, r, q)
			}
			var n int
			_, _ = fmt.Sscanf(upstream, "u%d", &n)
			result := r.send(ctx, q, n)
			back := Return{ID: ask.ID, Result: map[outcome]Result{answered: Served, turnedAway: TurnedAway, unreachable: Failed}[result]}
			r.running.Go(func() { r.giveBack(q.box, back) })
			if result == answered || result == timedOut {
				return result
			}
		}
		return turnedAway
	}
}

const keeperBox = 0

func (r *replay) countMessage() {
	r.mu.Lock()
	r.result.messages++
	r.mu.Unlock()
}

func (r *replay) keeperIsLost() bool {
	return r.keeperLost && time.Since(r.started) > replaySpan/2
}

// place asks for a place until there is one; without a keeper it returns none.
func (r *replay) place(ctx context.Context, q *replayRequest, ask Ask) (upstream string, ok bool) {
	for n := range r.ups {
		if slices.Contains(q.tried, n) || !r.reaches(q.box, n) {
			ask.Except = append(ask.Except, upstreamID(n))
		}
	}
	for ctx.Err() == nil {
		if r.keeperIsLost() || !r.reaches(q.box, keeperBox) {
			return "", true
		}
		ask.Aim = time.Until(q.arrived.Add(replayAim))
		ask.Deadline = time.Until(q.arrived.Add(replayTimeout))
		if ask.Aim <= 0 {
			ask.Aim = 1
		}
		r.countMessage()
		r.pass(q.box, keeperBox)
		answer := r.keeper.Ask(ctx, ask)
		r.pass(q.box, keeperBox)
		switch {
		case answer.Denied:
			return "", false
		case answer.Upstream != "":
			return answer.Upstream, true
		}
	}
	return "", false
}

func (r *replay) giveBack(box int, back Return) {
	r.countMessage()
	r.pass(box, keeperBox)
	if !r.keeperIsLost() {
		r.keeper.Return(Returns{Service: "s", Places: []Return{back}})
	}
}

// byDeadline is an order by the time left alone.
func byDeadline(a, b *waiter, _ time.Time, _ time.Duration) bool {
	return sooner(a, b, a.deadline, b.deadline)
}

// lent is the way in which each box borrows places for some tenths of a second by the requests it had.
type lent struct {
	mu     sync.Mutex
	places map[int][]int // by box, the upstreams of its free places
	demand map[int]int
	wake   map[int][]chan int
	once   sync.Once
}

const lentSpan = 200 * time.Millisecond

func (l *lent) way(ctx context.Context, r *replay, q *replayRequest) outcome {
	l.once.Do(func() { r.running.Go(func() { l.lend(r) }) })
	l.mu.Lock()
	l.demand[q.box]++
	var n int
	if free := l.places[q.box]; len(free) > 0 {
		n, l.places[q.box] = free[0], free[1:]
		l.mu.Unlock()
	} else {
		got := make(chan int, 1)
		l.wake[q.box] = append(l.wake[q.box], got)
		l.mu.Unlock()
		select {
		case n = <-got:
		case <-ctx.Done():
			l.leave(q.box, got)
			return timedOut
		}
	}
	result := r.send(ctx, q, n)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.give(q.box, n)
	if result == unreachable {
		return turnedAway
	}
	return result
}

// leave takes a request that no longer waits out of the queue of a box.
func (l *lent) leave(box int, got chan int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wake[box] = slices.DeleteFunc(l.wake[box], func(waits chan int) bool { return waits == got })
	select {
	case n := <-got:
		l.give(box, n)
	default:
	}
}

// give gives a place to the next request that waits at a box. The caller holds the lock.
func (l *lent) give(box, n int) {
	if waits := l.wake[box]; len(waits) > 0 {
		waits[0] <- n
		l.wake[box] = waits[1:]
		return
	}
	l.places[box] = append(l.places[box], n)
}

// lend takes back the free places and lends them by the demand of the last span.
func (l *lent) lend(r *replay) {
	var free []int
	for n := range r.ups {
		for range replaySlots + 2 {
			free = append(free, n)
		}
	}
	for time.Since(r.started) < replaySpan+replayTimeout {
		r.mu.Lock()
		r.result.messages += 2 * r.boxes
		r.mu.Unlock()
		l.mu.Lock()
		for box := range l.places {
			free = append(free, l.places[box]...)
		}
		l.places = map[int][]int{}
		rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
		var wants []int
		for box := range r.boxes {
			for range l.demand[box] + len(l.wake[box]) {
				wants = append(wants, box)
			}
		}
		rand.Shuffle(len(wants), func(i, j int) { wants[i], wants[j] = wants[j], wants[i] })
		slices.SortStableFunc(wants, func(a, b int) int { return len(l.wake[b]) - len(l.wake[a]) })
		for _, box := range wants {
			if len(free) == 0 {
				break
			}
			l.give(box, free[0])
			free = free[1:]
		}
		l.demand = map[int]int{}
		l.mu.Unlock()
		time.Sleep(lentSpan)
	}
}

func newLent() *lent {
	return &lent{places: map[int][]int{}, demand: map[int]int{}, wake: map[int][]chan int{}}
}

// replayed runs a replay on the paused clock.
func replayed(r *replay, by way) replayResult {
	var result replayResult
	spectest.Bubble(func() { result = r.run(by) })
	return result
}

// placeWays selects the rows of the table to print. docs/design/plain-places.md has it.
var placeWays = flag.String("place-ways", "", "compare ways to place plain requests: rows that match, by boxes, upstreams, load, fault and way")

var _ = Describe("ways to place plain requests", func() {
	It("are compared", func() {
		if *placeWays == "" {
			Skip("needs -place-ways")
		}
		rows := regexp.MustCompile(*placeWays)
		for _, r := range replays() {
			for name, by := range replayWays() {
				row := fmt.Sprintf("| %d | %d | %.1f | %s | %s", r.boxes, r.upstreams, r.load, r.fault, name)
				if rows.MatchString(row) {
					fresh := r
					got := replayed(&replay{setting: fresh}, by)
					GinkgoWriter.Printf("%s | %v\n", row, got)
				}
			}
		}
	})
})

// replays returns all settings of the table.
func replays() []setting {
	var list []setting
	for _, boxes := range []int{7, 39, 515} {
		for _, upstreams := range []int{3, 4} {
			for _, load := range []float64{0.5, 0.9, 1.4, 2} {
				for _, fault := range []fault{noFault, oneSlow, oneLost} {
					list = append(list, setting{boxes: boxes, upstreams: upstreams, load: load, fault: fault})
				}
			}
		}
	}
	return list
}

func replayWays() map[string]way {
	return map[string]way{
		"loads": byLoads, "keeper, aim first": byKeeper(aimFirst), "keeper, deadline": byKeeper(byDeadline), "lent": newLent().way,
	}
}

var _ = Describe("plain requests through a keeper, replayed", func() {
	It("are turned away by no upstream and make their aim more often than by reported loads, in an overload", func() {
		for _, boxes := range []int{39, 515} {
			busy := setting{boxes: boxes, upstreams: 4, load: 1.4}
			loads, kept := replayed(&replay{setting: busy}, byLoads), replayed(&replay{setting: busy}, byKeeper(aimFirst))
			Expect(loads.away).To(BeNumerically(">", loads.all/5))
			Expect(kept.away).To(BeZero())
			Expect(float64(kept.inAim)).To(BeNumerically(">", 1.07*float64(loads.inAim)))
			Expect(kept.failed).To(BeZero())
		}
	})

	It("reach their aim with one upstream slow or lost, as far as the others can serve them", func() {
		for _, fault := range []fault{oneSlow, oneLost} {
			got := replayed(&replay{setting: setting{boxes: 39, upstreams: 4, load: 0.6, fault: fault}}, byKeeper(aimFirst))
			Expect(got.away).To(BeZero())
			Expect(float64(got.inAim)).To(BeNumerically(">", 0.99*float64(got.all)))
		}
	})

	It("cost two messages each while there are free places", func() {
		got := replayed(&replay{setting: setting{boxes: 39, upstreams: 4, load: 0.5}}, byKeeper(aimFirst))
		Expect(float64(got.messages)).To(BeNumerically("<", 2.01*float64(got.all)))
	})

	It("are served on both sides of a cut, on the side without the keeper by reported loads", func() {
		got := replayed(&replay{setting: setting{boxes: 39, upstreams: 6, load: 0.7, cut: true}}, byKeeper(aimFirst))
		Expect(got.away).To(BeZero())
		Expect(float64(got.inAim)).To(BeNumerically(">", 0.97*float64(got.all)))
	})

	It("are served by reported loads once the keeper is lost", func() {
		got := replayed(&replay{setting: setting{boxes: 39, upstreams: 4, load: 0.7, keeperLost: true}}, byKeeper(aimFirst))
		Expect(float64(got.inAim)).To(BeNumerically(">", 0.98*float64(got.all)))
	})
})
