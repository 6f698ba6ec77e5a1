package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("a request's urgency", func() {
	It("counts as the nearest level when it is out of range", func() {
		for urgency, level := range map[int]int{-3: 0, 0: 0, 2: 2, 9: dispatch.UrgencyLevels - 1} {
			tracker := dispatch.NewLoadTracker()
			choice := dispatch.Choice{Upstream: &fleet.State{Upstream: &fleet.Upstream{ID: "e"}}, Uncached: 100}
			request := need("x")
			request.Urgency = urgency
			tracker.Begin(choice, request)
			Expect(tracker.Total("e").Prefill[level]).To(Equal(100), "urgency %d", urgency)
		}
	})
})

var _ = Describe("a chooser", func() {
	var tracker *dispatch.LoadTracker
	var chooser *dispatch.Chooser
	BeforeEach(func() {
		tracker = dispatch.NewLoadTracker()
		chooser = &dispatch.Chooser{Loads: tracker, Hall: "z"}
	})

	It("sends prompts that share a prefix where it is cached, until waiting there costs more", func() {
		spectest.Bubble(func() {
			states := engines(4)
			first, ok := chooser.Choose(need("x"), states)
			Expect(ok).To(BeTrue())
			tracker.Begin(first, need("x")).End()
			second, _ := chooser.Choose(need("y"), states)
			Expect(second.Upstream.ID).To(Equal(first.Upstream.ID))
			Expect(second.Uncached).To(Equal(500))
			for n := range 20 {
				tracker.Begin(second, need(fmt.Sprint("z", n)))
			}
			third, _ := chooser.Choose(need("q"), states)
			Expect(third.Upstream.ID).NotTo(Equal(first.Upstream.ID))
		})
	})

	It("prefers the same engine on all boxes for a prompt that no engine has cached", func() {
		spectest.Bubble(func() {
			states := engines(6)
			first, _ := chooser.Choose(need("x"), states)
			for range 5 {
				other := dispatch.NewLoadTracker()
				choice, _ := (&dispatch.Chooser{Loads: other, Hall: "z"}).Choose(need("y"), states)
				Expect(choice.Upstream.ID).To(Equal(first.Upstream.ID))
			}
		})
	})

	It("counts the requests that peers have in flight", func() {
		spectest.Bubble(func() {
			states := engines(2)
			tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: 8}, "e1": {}}, time.Now())
			for range 5 {
				choice, _ := chooser.Choose(dispatch.Requirements{Service: "s"}, states)
				Expect(choice.Upstream.ID).To(Equal("e1"))
			}
			Expect(tracker.Total("e0").Running).To(Equal(8))
		})
	})

	It("counts only prompts that are at least as urgent", func() {
		spectest.Bubble(func() {
			states := engines(1)
			for n := range 10 {
				less := need(fmt.Sprint("l", n))
				less.Urgency = 2
				choice, _ := chooser.Choose(less, states)
				tracker.Begin(choice, less)
			}
			urgent, _ := chooser.Choose(need("u"), states)
			patient := need("p")
			patient.Urgency = 2
			later, _ := chooser.Choose(patient, states)
			Expect(later.Wait).To(BeNumerically(">", urgent.Wait+20*time.Millisecond))
		})
	})

	It("ejects upstreams that fail more than the others, but takes one that is the only candidate", func() {
		spectest.Bubble(func() {
			states := engines(4)
			for range 12 {
				tracker.RecordOutcome("e0", false)
				for _, id := range []string{"e1", "e2", "e3"} {
					tracker.RecordOutcome(id, true)
				}
			}
			for range 50 {
				choice, _ := chooser.Choose(dispatch.Requirements{Service: "s"}, states)
				Expect(choice.Upstream.ID).NotTo(Equal("e0"))
			}
			only, ok := chooser.Choose(dispatch.Requirements{Service: "s"}, states[:1])
			Expect(ok).To(BeTrue())
			Expect(only.Upstream.ID).To(Equal("e0"))
		})
	})

	It("ejects no upstream when all fail alike", func() {
		spectest.Bubble(func() {
			states := engines(2)
			for range 30 {
				tracker.RecordOutcome("e0", false)
				tracker.RecordOutcome("e1", false)
			}
			seen := map[string]bool{}
			for range 100 {
				choice, ok := chooser.Choose(dispatch.Requirements{Service: "s"}, states)
				Expect(ok).To(BeTrue())
				seen[choice.Upstream.ID] = true
			}
			Expect(seen).To(HaveLen(2))
		})
	})

	It("removes the whole load of a request, however it ends", func() {
		spectest.Bubble(func() {
			states := engines(1)
			choice, _ := chooser.Choose(need("x"), states)
			for n := range 4 {
				ticket := tracker.Begin(choice, need("x"))
				if n%2 == 0 {
					ticket.Started()
				}
				ticket.End()
				ticket.End()
				ticket.Started()
			}
			Expect(tracker.Loads()).To(BeEmpty())
		})
	})
})

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 140, 600} {
		b.Run(fmt.Sprint(n, "engines"), func(b *testing.B) {
			states := engines(n)
			chooser := &dispatch.Chooser{Loads: dispatch.NewLoadTracker(), Hall: "z"}
			request := need("x")
			b.ReportAllocs()
			for b.Loop() {
				chooser.Choose(request, states)
			}
		})
	}
}
