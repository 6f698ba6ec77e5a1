package customers_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// The replay sends one customer's requests of several classes to 60 boxes in 4 halls, at 3 times its limit (5.4 times
// its usual demand) from 4 s on for 8 s. It compares ways to choose what the limit is spent on. Callers come back once
// after Retry-After, if their deadline allows.

// kind is a kind of the customer's requests.
type kind struct {
	name  string
	class customers.Class
	// perSecond is the number of new requests per second under the load above.
	perSecond, cost float64
	deadline        time.Duration
}

// kinds are the requests of a customer of a site with captions, chats and plain requests. The rates were read from
// boxes' logs, less the requests that come back.
var kinds = []kind{
	{"plain", customers.Class{Service: "orders", Urgency: 2}, 495, 200, time.Second},
	{"chat", customers.Class{Service: "lm", Urgency: 0}, 415, 1120, 15 * time.Second},
	{"premium", customers.Class{Service: "lm", Urgency: 1}, 487, 9244, 5 * time.Second},
	{"basic", customers.Class{Service: "lm", Urgency: 2}, 140, 9244, 10 * time.Second},
}

var orderLimit = customers.Limit{Unit: customers.Tokens, PerSecond: 2_100_000, Burst: 2_100_000}

// orderReplay is one run.
type orderReplay struct {
	simulation
	kinds    []kind
	spenders []*customers.Spender
	// classOf changes the class that a box sends.
	classOf func(box int, class customers.Class) customers.Class
	events  []orderEvent
}

type orderEvent struct {
	at             time.Duration
	kind           int
	first, granted bool
}

func (r *orderReplay) begin() (end func()) {
	const keeper = 1
	ctx, cancel := context.WithCancel(context.Background())
	r.keepers = make([]*customers.Keeper, r.boxes)
	r.resetAll(1)
	r.spenders = make([]*customers.Spender, r.boxes)
	for box := range r.boxes {
		r.spenders[box] = customers.NewSpender(func(ctx context.Context, ask customers.SpendRequest) (customers.Grant, error) {
			return r.ask(ctx, box, keeper, ask)
		})
		go r.spenders[box].Run(ctx)
	}
	if r.restartAll {
		time.AfterFunc(7*time.Second, func() { r.resetAll(1) })
	}
	if r.keeperDown {
		time.AfterFunc(9*time.Second, func() { r.reset(keeper, 1) })
	}
	return func() {
		cancel()
		time.Sleep(time.Second) // Calls in flight end.
	}
}

// send sends a request of a kind to a box, and once more to another box if it is refused.
func (r *orderReplay) send(number, box, again int) {
	k := r.kinds[number]
	for first := true; ; first, box = false, again {
		at := r.now()
		limit, version := r.currentLimit()
		class := k.class
		if r.classOf != nil {
			class = r.classOf(box, class)
		}
		verdict := r.spenders[box].Take(&customers.Customer{Name: "c", Limit: limit}, version, class, k.cost)
		r.mu.Lock()
		r.events = append(r.events, orderEvent{at: at, kind: number, first: first, granted: verdict.Granted})
		r.mu.Unlock()
		if verdict.Granted || !first || verdict.RetryAfter >= k.deadline || verdict.RetryAfter < 0 {
			return
		}
		time.Sleep(verdict.RetryAfter)
	}
}

func (r *orderReplay) run(factor float64) {
	defer r.begin()()
	random := rand.New(rand.NewPCG(1, 7))
	total := 0.0
	for _, k := range r.kinds {
		total += k.perSecond
	}
	var running sync.WaitGroup
	for r.now() < 16*time.Second {
		rate := total / 5.4
		if within(r.now(), 4*time.Second, 8*time.Second) {
			rate *= factor
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		number, point := 0, random.Float64()*total
		for ; number < len(r.kinds)-1 && point > r.kinds[number].perSecond; number++ {
			point -= r.kinds[number].perSecond
		}
		box, again := random.IntN(r.boxes), random.IntN(r.boxes)
		running.Go(func() { r.send(number, box, again) })
	}
	running.Wait()
}

// orderResult is the outcome of a run.
type orderResult struct {
	result
	// granted is the fraction of the first requests of each kind that was granted at first, from 5 s to 12 s: 1 if
	// there were none.
	granted []float64
	// served also counts those granted when they came back; kept is the fraction of those that came back and were
	// granted.
	served []float64
	kept   float64
	// storm is the largest number of requests that came back within a tenth of a second, relative to the new ones that
	// come in that time under the load.
	storm float64
	// refused is the number of refusals of each kind from 4 s to 12 s.
	refused []int
}

func (r *orderReplay) result() orderResult {
	slices.SortFunc(r.events, func(a, b orderEvent) int { return int(a.at - b.at) })
	out := orderResult{result: r.spending(), refused: make([]int, len(r.kinds))}
	asked, atFirst, atAll := make([]float64, len(r.kinds)), make([]float64, len(r.kinds)), make([]float64, len(r.kinds))
	returned, kept := 0.0, 0.0
	for _, e := range r.events {
		if !e.first {
			returned++
			if e.granted {
				kept++
			}
		}
		if !within(e.at, 4*time.Second, 8*time.Second) {
			continue
		}
		if !e.granted {
			out.refused[e.kind]++
		}
		if e.first && e.at >= 5*time.Second {
			asked[e.kind]++
			if e.granted {
				atFirst[e.kind]++
			}
		}
		if e.granted && e.at >= 5*time.Second {
			atAll[e.kind]++
		}
	}
	for i := range r.kinds {
		out.granted = append(out.granted, atFirst[i]/max(1, asked[i]))
		out.served = append(out.served, atAll[i]/max(1, asked[i]))
	}
	out.kept = kept / max(1, returned)
	out.storm = r.storm()
	return out
}

// storm returns orderResult.storm.
func (r *orderReplay) storm() float64 {
	most, total := 0, 0.0
	back := map[time.Duration]int{}
	for _, e := range r.events {
		if !e.first {
			back[e.at/(100*time.Millisecond)]++
			most = max(most, back[e.at/(100*time.Millisecond)])
		}
	}
	for _, k := range r.kinds {
		total += k.perSecond
	}
	return float64(most) / (total / 10)
}

// spending returns the highest spending in a window, and the fraction of what one exact account would have granted
// and this one did not, in units.
func (r *orderReplay) spending() result {
	var out result
	window := r.tolerance.Window
	spent, first := 0.0, 0
	var exact, granted float64
	level, last := r.limit.Burst, time.Duration(0)
	for _, e := range r.events {
		cost := r.kinds[e.kind].cost
		if e.granted {
			spent += cost
			granted += cost
		}
		for ; r.events[first].at < e.at-window; first++ {
			if r.events[first].granted {
				spent -= r.kinds[r.events[first].kind].cost
			}
		}
		limit := r.limit
		if r.limitFactor > 0 && r.events[first].at > 3*time.Second {
			limit.PerSecond *= r.limitFactor
			limit.Burst *= r.limitFactor
		}
		allowed := (limit.PerSecond*window.Seconds()+limit.Burst)*(1+r.tolerance.Overage) + r.tolerance.Slack
		out.worstSpending = max(out.worstSpending, spent/allowed)
		level = min(limit.Burst, level+(e.at-last).Seconds()*limit.PerSecond)
		last = e.at
		if level > 0 {
			level -= cost
			exact += cost
		}
	}
	out.falselyRefused = max(0, (exact-granted)/exact)
	return out
}

// playOrder runs one scenario in one way.
func playOrder(s orderScenario, way orderWay) (out orderResult) {
	spectest.Bubble(func() {
		r := &orderReplay{kinds: s.kinds}
		r.simulation = simulation{scenario: s.scenario, boxes: 60, halls: 4, lossRandom: rand.New(rand.NewPCG(1, 13)), begun: time.Now(),
			customerProfile: customerProfile{limit: orderLimit, tolerance: wide}}
		if r.kinds == nil {
			r.kinds = kinds
		}
		if way.begin != nil {
			way.begin(r)
		}
		if s.begin != nil {
			s.begin(r)
		}
		r.run(s.demandFactor)
		out = r.result()
	})
	return out
}

var _ = Describe("What a customer at its limit spends its quota on, over 60 boxes", func() {
	for _, way := range orderWays {
		for _, s := range orderScenarios {
			if s.inUseOnly && !way.inUse {
				continue
			}
			It("is chosen by "+way.name+": "+s.name, func() {
				got := playOrder(s, way)
				row := fmt.Sprintf("| %s | %s |", s.name, way.name)
				for i := range got.granted {
					row += fmt.Sprintf(" %.2f (%.2f)", got.granted[i], got.served[i])
				}
				GinkgoWriter.Printf("%s | %.2f | %.1f | %.2f | %.1f | %v |\n", row, got.worstSpending, 100*got.falselyRefused, got.kept, got.storm, got.refused)
				if way.inUse {
					s.check(got)
				}
			})
		}
	}
})

// checkOrder checks the outcome of all scenarios of the way in use: the sum within the limit, and no class of a
// service granted more than a more urgent one.
func checkOrder(got orderResult) {
	GinkgoHelper()
	Expect(got.worstSpending).To(BeNumerically("<=", 1))
	Expect(got.falselyRefused).To(BeNumerically("<", 0.1))
}
