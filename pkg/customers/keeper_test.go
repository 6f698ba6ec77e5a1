package customers_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var strict = customers.Tolerance{Window: 8 * time.Second}

func askFor(limit customers.Limit, version int64, costs ...float64) customers.SpendRequest {
	return customers.SpendRequest{Customer: "c", Scope: customers.FleetScope, Limit: limit, Version: version, Costs: costs}
}

var _ = Describe("A limit", func() {
	It("counts requests, or the tokens of prompt and answer", func() {
		Expect(customers.Limit{}.Cost(100, 20)).To(Equal(1.0))
		Expect(customers.Limit{Unit: customers.Tokens, PlainTokens: 7}.Cost(100, 20)).To(Equal(120.0))
		Expect(customers.Limit{Unit: customers.Tokens, PlainTokens: 7}.Cost(0, 0)).To(Equal(7.0))
		Expect(customers.Limit{Burst: 5}.Limited()).To(BeFalse())
	})
})

var _ = Describe("A keeper", func() {
	limit := customers.Limit{PerSecond: 10, Burst: 20}

	It("grants the burst and the rate, and tells the other requests to retry one after the other", func() {
		spectest.Bubble(func() {
			keeper := customers.NewKeeper(strict)
			keeper.Spend(askFor(limit, 1), 1, time.Now())
			time.Sleep(time.Minute)
			costs := make([]float64, 24)
			for i := range costs {
				costs[i] = 1
			}
			grant := keeper.Spend(askFor(limit, 1, costs...), 1, time.Now())
			Expect(grant.Waits[:20]).To(HaveEach(time.Duration(0)))
			Expect(grant.Waits[20:]).To(Equal([]time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}))
			By("granting them at those times")
			for range 4 {
				time.Sleep(101 * time.Millisecond)
				Expect(keeper.Spend(askFor(limit, 1, 1), 1, time.Now()).Waits).To(Equal([]time.Duration{0}))
			}
		})
	})

	It("holds the given share of the limit", func() {
		spectest.Bubble(func() {
			keeper := customers.NewKeeper(strict)
			keeper.Spend(askFor(limit, 1), 0.5, time.Now())
			time.Sleep(time.Minute)
			Expect(keeper.Spend(askFor(limit, 1), 0.5, time.Now()).Level).To(Equal(10.0))
			Expect(keeper.Spend(askFor(limit, 1), 0.25, time.Now()).Level).To(Equal(5.0))
		})
	})

	It("applies a lower limit at once, and ignores one of an older version", func() {
		spectest.Bubble(func() {
			keeper := customers.NewKeeper(strict)
			keeper.Spend(askFor(limit, 5), 1, time.Now())
			time.Sleep(time.Minute)
			lower := customers.Limit{PerSecond: 1, Burst: 2}
			Expect(keeper.Spend(askFor(lower, 6), 1, time.Now()).Level).To(Equal(2.0))
			time.Sleep(time.Minute)
			Expect(keeper.Spend(askFor(limit, 5), 1, time.Now()).Level).To(Equal(2.0))
		})
	})

	It("grants a request that costs more than the burst, but none that costs more than the limit ever allows", func() {
		spectest.Bubble(func() {
			keeper := customers.NewKeeper(strict)
			keeper.Spend(askFor(limit, 1), 1, time.Now())
			time.Sleep(time.Minute)
			grant := keeper.Spend(askFor(limit, 1, 1e9, 50, 1), 1, time.Now())
			Expect(grant.Waits).To(Equal([]time.Duration{customers.Never, 0, 3 * time.Second}))
			Expect(grant.Level).To(Equal(-30.0))
		})
	})

	It("subtracts what was spent elsewhere, and adds what was returned, up to the burst", func() {
		spectest.Bubble(func() {
			keeper := customers.NewKeeper(strict)
			keeper.Spend(askFor(limit, 1), 1, time.Now())
			time.Sleep(time.Minute)
			spent := askFor(limit, 1)
			spent.Settled = 15
			Expect(keeper.Spend(spent, 1, time.Now()).Level).To(Equal(5.0))
			spent.Settled = -100
			keeper.Spend(spent, 1, time.Now())
			Expect(keeper.Spend(askFor(limit, 1), 1, time.Now()).Level).To(Equal(20.0))
		})
	})

	It("grants no more than the burst to a request that returns units", func() {
		spectest.Bubble(func() {
			keeper := customers.NewKeeper(strict)
			keeper.Spend(askFor(limit, 1), 1, time.Now())
			time.Sleep(time.Minute)
			ask := askFor(limit, 1, 20, 20)
			ask.Settled = -100
			grant := keeper.Spend(ask, 1, time.Now())
			Expect(grant.Waits).To(Equal([]time.Duration{0, 50 * time.Millisecond}))
			Expect(grant.Level).To(Equal(0.0))
		})
	})
})

// fakeKeeper answers each SpendRequest after 5 ms, or not at all for the silent scopes.
type fakeKeeper struct {
	mu     sync.Mutex
	asks   []customers.SpendRequest
	silent map[customers.Scope]bool
	wait   time.Duration
	// thresholds are those of each answer.
	thresholds []float64
}

func (k *fakeKeeper) ask(ctx context.Context, ask customers.SpendRequest) (customers.Grant, error) {
	k.mu.Lock()
	k.asks = append(k.asks, ask)
	silent, wait := k.silent[ask.Scope], k.wait
	k.mu.Unlock()
	if silent {
		<-ctx.Done()
		return customers.Grant{}, errors.New("no answer")
	}
	time.Sleep(5 * time.Millisecond)
	waits := make([]time.Duration, len(ask.Costs))
	for i := range waits {
		waits[i] = wait
	}
	return customers.Grant{Waits: waits, Level: 7, Share: 1, Thresholds: k.thresholds}, nil
}

var _ = Describe("A spender", func() {
	customer := &customers.Customer{Name: "c", Limit: customers.Limit{PerSecond: 10, Burst: 10}}

	It("batches the requests that arrive while a keeper is asked", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{}
			spender := customers.NewSpender(calls.ask)
			var running sync.WaitGroup
			for range 50 {
				running.Go(func() { Expect(spender.Take(customer, 1, customers.Class{}, 1).Granted).To(BeTrue()) })
			}
			running.Wait()
			Expect(len(calls.asks)).To(BeNumerically("<=", 3))
		})
	})

	It("uses the next account if a keeper does not answer, and settles with the fleet's account soon after", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{silent: map[customers.Scope]bool{customers.FleetScope: true, customers.HallScope: true}}
			spender := customers.NewSpender(calls.ask)
			ctx, stop := context.WithCancel(context.Background())
			go spender.Run(ctx)
			defer func() { stop(); time.Sleep(time.Second) }()
			begun := time.Now()
			verdict := spender.Take(customer, 1, customers.Class{}, 3)
			Expect(verdict.Granted).To(BeTrue())
			Expect(verdict.Scope).To(Equal(customers.BoxScope))
			Expect(time.Since(begun)).To(BeNumerically("<", 250*time.Millisecond))
			calls.mu.Lock()
			calls.silent, calls.asks = nil, nil
			calls.mu.Unlock()
			time.Sleep(700 * time.Millisecond)
			calls.mu.Lock()
			defer calls.mu.Unlock()
			Expect(calls.asks).To(HaveLen(1))
			Expect(calls.asks[0].Settled).To(Equal(3.0))
		})
	})

	It("drops spending that it could not settle in time", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{silent: map[customers.Scope]bool{customers.FleetScope: true, customers.HallScope: true}}
			spender := customers.NewSpender(calls.ask)
			ctx, stop := context.WithCancel(context.Background())
			go spender.Run(ctx)
			defer func() { stop(); time.Sleep(time.Second) }()
			spender.Take(customer, 1, customers.Class{}, 3)
			time.Sleep(4 * time.Second)
			calls.mu.Lock()
			calls.silent, calls.asks = nil, nil
			calls.mu.Unlock()
			time.Sleep(time.Second)
			Expect(calls.asks).To(BeEmpty())
		})
	})

	It("settles returned units", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{}
			spender := customers.NewSpender(calls.ask)
			spender.Return(customer, 1, 4)
			spender.Take(customer, 1, customers.Class{}, 1)
			Expect(calls.asks[0].Settled).To(Equal(-4.0))
		})
	})

	It("does not return units again that a keeper may have taken back without answering", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{silent: map[customers.Scope]bool{customers.FleetScope: true}}
			spender := customers.NewSpender(calls.ask)
			spender.Return(customer, 1, 4)
			spender.Take(customer, 1, customers.Class{}, 1)
			calls.mu.Lock()
			calls.silent, calls.asks = nil, nil
			calls.mu.Unlock()
			spender.Take(customer, 1, customers.Class{}, 1)
			Expect(calls.asks[0].Settled).To(Equal(1.0), "only what was spent on the hall's account")
		})
	})

	It("gives a retry time to the requests of a flood that it refuses without asking", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{}
			spender := customers.NewSpender(calls.ask)
			var running sync.WaitGroup
			var mu sync.Mutex
			refused := 0
			for range 4000 {
				running.Go(func() {
					verdict := spender.Take(customer, 1, customers.Class{}, 1)
					mu.Lock()
					defer mu.Unlock()
					if !verdict.Granted {
						refused++
						Expect(verdict.RetryAfter).To(BeNumerically(">", 0))
					}
				})
			}
			running.Wait()
			Expect(refused).To(BeNumerically(">", 1000))
		})
	})

	It("asks a keeper only a few times per second about a refused flood, and reports the age of the answer", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{wait: 5 * time.Second}
			spender := customers.NewSpender(calls.ask)
			var last customers.Verdict
			for range 2000 {
				last = spender.Take(customer, 1, customers.Class{}, 1)
				Expect(last.Granted).To(BeFalse())
				Expect(last.RetryAfter).To(Equal(5 * time.Second))
				time.Sleep(time.Millisecond)
			}
			Expect(len(calls.asks)).To(BeNumerically("<=", 12))
			Expect(last.Age).To(BeNumerically("<=", 210*time.Millisecond))
		})
	})
})
