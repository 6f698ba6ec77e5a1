package routing_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/routing"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestRouting(t *testing.T) { spectest.Run(t, "Routing") }

// candidates returns engines of two slots each, with the given numbers of running requests.
func candidates(running ...int) []routing.Candidate {
	var list []routing.Candidate
	for i, n := range running {
		list = append(list, routing.Candidate{ID: fmt.Sprint("e", i), Slots: 2, Running: n, Reported: time.Now()})
	}
	return list
}

// countPicks counts which engines are picked in a hundred choices.
func countPicks(router *routing.Router, prompt string, list []routing.Candidate) map[string]int {
	counts := map[string]int{}
	for range 100 {
		choice, err := router.Pick("m", prompt, list)
		Expect(err).NotTo(HaveOccurred())
		counts[choice.ID]++
	}
	return counts
}

var _ = Describe("a router", func() {
	var router *routing.Router
	BeforeEach(func() { router = routing.New(routing.Config{}) })

	It("estimates the wait by the requests beyond the slots and the mean time in a slot", func() {
		spectest.Bubble(func() {
			choice, err := router.Pick("m", "", candidates(5))
			Expect(err).NotTo(HaveOccurred())
			Expect(choice.Wait).To(Equal(4 * time.Second))
			for range 500 {
				router.RecordSlotTime("m", time.Second)
			}
			Expect(router.SlotTime("m")).To(BeNumerically("~", time.Second, time.Millisecond))
			choice, _ = router.Pick("m", "", candidates(5))
			Expect(choice.Wait).To(BeNumerically("~", 2*time.Second, 2*time.Millisecond))
		})
	})

	It("spreads choices among engines that are about equal", func() {
		spectest.Bubble(func() {
			counts := countPicks(router, "", candidates(0, 1, 0, 2))
			Expect(counts).To(HaveLen(3))
			Expect(counts).NotTo(HaveKey("e3"))
		})
	})

	It("counts what was sent since a report, by this box and by peers", func() {
		spectest.Bubble(func() {
			list := candidates(0, 0)
			list[0].PeersSent = 1
			time.Sleep(time.Millisecond)
			router.RecordSent("m", "", "e0")
			Expect(countPicks(router, "", list)).To(Equal(map[string]int{"e1": 100}))
			// A newer report includes what was sent before, but this box's own request is still in flight.
			Expect(countPicks(router, "", candidates(0, 0))).To(HaveLen(2))
		})
	})

	// A box counted all that it had sent since a report of seconds ago as waiting there, although it had ended: a model
	// was refused as out of reach at an idle engine until the next report.
	It("does not count requests that have ended since a report", func() {
		spectest.Bubble(func() {
			list := candidates(0)
			for range 250 {
				ended := router.RecordSent("m", "", "e0")
				time.Sleep(20 * time.Millisecond)
				ended()
			}
			choice, err := router.Pick("new", "", list)
			Expect(err).NotTo(HaveOccurred())
			Expect(choice.Wait).To(BeZero())
			// What the report counted and has ended since does not wait there either.
			ended := router.RecordSent("m", "", "e0")
			time.Sleep(time.Millisecond)
			list = candidates(3)
			time.Sleep(time.Millisecond)
			ended()
			choice, _ = router.Pick("new", "", list)
			Expect(choice.Wait).To(Equal(time.Second))
		})
	})

	It("assumes that other boxes have as many requests in flight as this one where reports are stale", func() {
		spectest.Bubble(func() {
			list := candidates(9, 0)
			list[0].Boxes, list[1].Boxes = 4, 4
			router.RecordSent("m", "", "e1")
			time.Sleep(10 * time.Second)
			Expect(countPicks(router, "", list)).To(Equal(map[string]int{"e1": 100}))
			time.Sleep(time.Nanosecond)
			Expect(countPicks(router, "", list)).To(Equal(map[string]int{"e0": 100}))
		})
	})

	It("sends prompts that share a prefix where it is cached, until waiting there costs more", func() {
		spectest.Bubble(func() {
			prompt := strings.Repeat("x", 1024)
			router.RecordSent("m", prompt, "e0")()
			Expect(countPicks(router, prompt, candidates(0, 0))).To(Equal(map[string]int{"e0": 100}))
			Expect(countPicks(router, prompt, candidates(2, 0))).To(Equal(map[string]int{"e1": 100}))
			Expect(countPicks(router, strings.Repeat("y", 1024), candidates(0, 0))).To(HaveLen(2))
			router.DropPrefixes("e0")
			Expect(countPicks(router, prompt, candidates(0, 0))).To(HaveLen(2))
		})
	})

	It("prefers the near engine among equals", func() {
		spectest.Bubble(func() {
			list := candidates(0, 0)
			list[1].Distance = 5 * time.Millisecond
			Expect(countPicks(router, "", list)).To(Equal(map[string]int{"e0": 100}))
		})
	})

	It("avoids a failed engine for a while, unless there is no other", func() {
		spectest.Bubble(func() {
			router.Avoid("e0", time.Second)
			Expect(countPicks(router, "", candidates(0, 9))).To(Equal(map[string]int{"e1": 100}))
			Expect(countPicks(router, "", candidates(0))).To(Equal(map[string]int{"e0": 100}))
			time.Sleep(time.Second)
			Expect(countPicks(router, "", candidates(0, 9))).To(Equal(map[string]int{"e0": 100}))
		})
	})

	It("counts all that it sent, and forgets engines that are gone once they are idle", func() {
		spectest.Bubble(func() {
			first := router.RecordSent("m", "", "e0")
			router.RecordSent("m", "", "e0")()
			router.RecordSent("m", "", "e1")
			Expect(router.Totals()).To(Equal(map[string]int64{"e0": 2, "e1": 1}))
			keepNone := func(string) bool { return false }
			router.Forget(keepNone)
			Expect(router.Totals()).To(HaveLen(2))
			first()
			first()
			router.Forget(keepNone)
			Expect(router.Totals()).To(Equal(map[string]int64{"e1": 1}))
		})
	})
})

var _ = Describe("a retry budget", func() {
	// allowed asks for a number of retries and returns how many the budget allows.
	allowed := func(budget *routing.RetryBudget, asked int) int {
		n := 0
		for range asked {
			if budget.TryRetry() {
				n++
			}
		}
		return n
	}

	It("allows retries of a share of requests, and a few a second in addition", func() {
		spectest.Bubble(func() {
			budget := routing.NewRetryBudget(0.1)
			// The burst of the minimum.
			Expect(allowed(budget, 100)).To(Equal(10))
			for range 45 {
				budget.RecordRequest()
			}
			Expect(allowed(budget, 100)).To(Equal(4))
			time.Sleep(3 * time.Second)
			Expect(allowed(budget, 100)).To(Equal(3))
		})
	})

	It("saves up only a few retries", func() {
		spectest.Bubble(func() {
			budget := routing.NewRetryBudget(0.1)
			for range 1000 {
				budget.RecordRequest()
			}
			Expect(allowed(budget, 100)).To(Equal(20))
		})
	})
})
