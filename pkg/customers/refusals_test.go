package customers_test

import (
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("A spender with requests of several classes", func() {
	customer := &customers.Customer{Name: "c", Limit: customers.Limit{PerSecond: 10, Burst: 10}}

	It("remembers a refusal only for requests of the same service that are no more urgent, and reports what it refused", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{wait: 5 * time.Second}
			spender := customers.NewSpender(calls.ask)
			Expect(spender.Take(customer, 1, ordinary, 3).Granted).To(BeFalse())
			calls.wait = 0
			Expect(spender.Take(customer, 1, ordinary, 3).Granted).To(BeFalse())
			Expect(spender.Take(customer, 1, idle, 4).Granted).To(BeFalse())
			Expect(calls.asks).To(HaveLen(1))
			Expect(spender.Take(customer, 1, urgent, 3).Granted).To(BeTrue())
			Expect(spender.Take(customer, 1, plain, 3).Granted).To(BeTrue())
			unasked := map[customers.Class]float64{}
			for i, cost := range calls.asks[1].Classes.Unasked {
				unasked[calls.asks[1].Classes.Classes[i]] = cost
			}
			Expect(unasked).To(Equal(map[customers.Class]float64{urgent: 0, ordinary: 3, idle: 4}))
			Expect(calls.asks[2].Classes.Unasked).To(BeEmpty())
			time.Sleep(200 * time.Millisecond)
			Expect(spender.Take(customer, 1, idle, 4).Granted).To(BeTrue())
		})
	})

	It("refuses by what it remembers of the class itself, or else of the nearest more urgent one", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{wait: 2 * time.Second}
			spender := customers.NewSpender(calls.ask)
			var running sync.WaitGroup
			running.Go(func() { spender.Take(customer, 1, urgent, 3) })
			time.Sleep(time.Millisecond)
			running.Go(func() { spender.Take(customer, 1, idle, 3) })
			time.Sleep(time.Millisecond)
			calls.mu.Lock()
			calls.wait = 8 * time.Second
			calls.mu.Unlock()
			running.Wait()
			Expect(spender.Take(customer, 1, ordinary, 3).RetryAfter).To(Equal(2 * time.Second))
			Expect(spender.Take(customer, 1, idle, 3).RetryAfter).To(Equal(8 * time.Second))
			Expect(calls.asks).To(HaveLen(2))
		})
	})

	It("tells the threshold of a request's class, and none if the keeper's build knows no classes", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{thresholds: []float64{5}}
			spender := customers.NewSpender(calls.ask)
			Expect(spender.Take(customer, 1, ordinary, 3).Threshold).To(Equal(5.0))
			calls.thresholds = nil
			Expect(spender.Take(customer, 1, ordinary, 3).Threshold).To(BeZero())
		})
	})

	It("sends requests of a class that a SpendRequest can't contain without a class", func() {
		spectest.Bubble(func() {
			calls := &fakeKeeper{}
			spender := customers.NewSpender(calls.ask)
			long := customers.Class{Service: strings.Repeat("x", 300)}
			Expect(spender.Take(customer, 1, long, 3).Granted).To(BeTrue())
			Expect(spender.Take(customer, 1, customers.Class{Service: "lm", Urgency: -1}, 3).Granted).To(BeTrue())
			for _, ask := range calls.asks {
				Expect(ask.Classes.Valid(1)).To(BeTrue())
				Expect(ask.Classes.Of).To(Equal([]int{-1}))
			}
		})
	})
})
