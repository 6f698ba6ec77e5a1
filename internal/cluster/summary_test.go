package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("load summaries", func() {
	It("add up what all other boxes reported lately", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			summary := func(running int) *loadSummary {
				return &loadSummary{Boxes: 1, Loads: map[string]dispatch.Load{"e": {Running: running}}}
			}
			m.report("a", message{Scope: ownScope, Summary: summary(2)})
			m.report("c", message{Scope: ownScope, Summary: summary(3)})
			Expect(m.otherBoxes(time.Now()).Loads["e"].Running).To(Equal(5))
			Expect(m.otherBoxes(time.Now().Add(reportTTL)).Loads).To(BeEmpty())
		})
	})

	It("do not outlast the process that sent them", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			m.report("a", message{Scope: ownScope, Summary: &loadSummary{Boxes: 1, Loads: map[string]dispatch.Load{"e": {Running: 2}}}})
			Expect(m.otherBoxes(time.Now()).Loads["e"].Running).To(Equal(2))
			m.SetRegistered([]Box{{Name: "a", Incarnation: "next"}})
			Expect(m.otherBoxes(time.Now()).Loads).To(BeEmpty())
		})
	})

	It("name each use of an adapter once", func() {
		spectest.Bubble(func() {
			use := residency.ModelUse{Upstream: "e", Model: "m", Adapter: "a"}
			one, two := use, use
			one.Running, two.Running = 1, 2
			sum := merged([]residency.ModelUse{one, two})
			Expect(sum).To(HaveLen(1))
			Expect(sum[0].Running).To(Equal(3))
		})
	})

	It("count the store as lost by all only if every known box reported so", func() {
		spectest.Bubble(func() {
			lost := true
			m := NewMembers(Box{Name: "b"}, func() bool { return lost })
			Expect(m.StoreLostByAll()).To(BeFalse())
			m.SetRegistered([]Box{{Name: "a"}, {Name: "c"}})
			m.report("a", message{Scope: ownScope, Summary: &loadSummary{Boxes: 1, StoreLost: 1}})
			Expect(m.StoreLostByAll()).To(BeFalse())
			m.report("c", message{Scope: ownScope, Summary: &loadSummary{Boxes: 1, StoreLost: 1}})
			Expect(m.StoreLostByAll()).To(BeTrue())
			lost = false
			Expect(m.StoreLostByAll()).To(BeFalse())
		})
	})
})
