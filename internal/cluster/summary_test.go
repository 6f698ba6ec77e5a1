package cluster

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("load summaries", func() {
	It("add up what all other boxes reported recently", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			summary := func(running int) *loadSummary {
				return &loadSummary{Boxes: 1, Loads: map[string]dispatch.Load{"e": {Running: running}}}
			}
			m.report("a", message{Scope: ownScope, Summary: summary(2)})
			m.report("c", message{Scope: ownScope, Summary: summary(3)})
			Expect(m.remoteSummary(time.Now()).Loads["e"].Running).To(Equal(5))
			Expect(m.remoteSummary(time.Now().Add(reportTTL)).Loads).To(BeEmpty())
		})
	})

	It("are sent to each box of a relay's hall without its own part, although the relay adds them up once", func() {
		spectest.Bubble(func() {
			m := largeFleet("n00")
			running := func(n int) int { return 1 << n }
			report := func(n int, sent scope, times int) {
				loads := map[string]dispatch.Load{"e": {Running: times * running(n), Prefill: [dispatch.UrgencyLevels]int{n}, Tokens: n, Waiting: n}}
				m.report(fmt.Sprintf("n%02d", n), message{Scope: sent, Summary: &loadSummary{Boxes: 1, Loads: loads}})
			}
			const last = 9
			for n := 1; n <= last; n++ {
				report(n, memberScope, 1)
			}
			report(10, hallScope, 1) // The relay of the other hall.
			all := 0
			for n := 1; n <= last+1; n++ {
				all += running(n)
			}
			own := loadSummary{Boxes: 1, Loads: map[string]dispatch.Load{"e": {Running: 1}}}
			Expect(m.remoteSummary(time.Now()).Loads["e"].Running).To(Equal(all))
			for n := 1; n <= last; n++ {
				report(n, memberScope, 2) // Newer than the cached sum, from which the older part is subtracted.
				sent := m.summaryFor(fmt.Sprintf("n%02d", n), fleetScope, own)
				Expect(sent.Boxes).To(Equal(last + 1))
				Expect(sent.Loads["e"].Running).To(Equal(1 + all - running(n)))
			}
			time.Sleep(relaySumTTL)
			sent := m.summaryFor("n01", fleetScope, own)
			Expect(sent.Loads["e"].Running).To(Equal(1 + 2*all - running(last+1) - 2*running(1)))
			Expect(m.remoteSummary(time.Now()).Loads["e"].Running).To(Equal(2*all - running(last+1)))
		})
	})

	It("are dated to when the boxes reported, also if a relay sent them later", func() {
		spectest.Bubble(func() {
			small := smallFleet()
			small.report("a", message{Scope: ownScope, Summary: &loadSummary{Boxes: 1}})
			time.Sleep(100 * time.Millisecond)
			small.report("c", message{Scope: ownScope, Summary: &loadSummary{Boxes: 1}})
			Expect(time.Since(small.remoteSummaryTime(time.Now()))).To(Equal(50 * time.Millisecond))

			large := largeFleet("n05")
			large.report("n00", message{Scope: fleetScope, Summary: &loadSummary{Boxes: 19}})
			time.Sleep(100 * time.Millisecond)
			Expect(time.Since(large.remoteSummaryTime(time.Now()))).To(Equal(100*time.Millisecond + meanRelayedAge))
		})
	})

	It("do not outlast the process that sent them", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			m.report("a", message{Scope: ownScope, Summary: &loadSummary{Boxes: 1, Loads: map[string]dispatch.Load{"e": {Running: 2}}}})
			Expect(m.remoteSummary(time.Now()).Loads["e"].Running).To(Equal(2))
			m.SetRegistered([]Box{{Name: "a", Incarnation: "next"}})
			Expect(m.remoteSummary(time.Now()).Loads).To(BeEmpty())
		})
	})

	It("name each use of an adapter once", func() {
		spectest.Bubble(func() {
			use := residency.ModelUse{Upstream: "e", Model: "m", Adapter: "a"}
			one, two := use, use
			one.Running, two.Running = 1, 2
			sum := mergeUses([]residency.ModelUse{one, two})
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

// BenchmarkRelaySum answers one box of a hall of 50, as its relay does 200 times a second.
func BenchmarkRelaySum(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	const members, relays, upstreams, uses = 49, 5, 240, 4
	self := Box{Name: "r00", Hall: "h0", Cores: 2}
	boxes := []Box{self}
	for n := range members {
		boxes = append(boxes, Box{Name: fmt.Sprintf("n%02d", n), Hall: "h0", Cores: 1})
	}
	for n := 1; n <= relays; n++ {
		boxes = append(boxes, Box{Name: fmt.Sprintf("r%02d", n), Hall: fmt.Sprint("h", n), Cores: 2})
	}
	m := NewMembers(self, neverLost)
	m.SetRegistered(boxes)
	for n, box := range boxes[1:] {
		sent, count := memberScope, uses
		if n >= members {
			sent, count = hallScope, upstreams
		}
		loads := map[string]dispatch.Load{}
		for i := range count {
			loads[fmt.Sprintf("i-%010x", (n+i)%upstreams*7919)] = dispatch.Load{Running: 1}
		}
		m.report(box.Name, message{Scope: sent, Summary: &loadSummary{Boxes: 1, Loads: loads}})
	}
	for b.Loop() {
		m.applyReport(message{From: boxes[1], Scope: memberScope, Summary: &loadSummary{Boxes: 1}}, time.Now())
		m.remoteSummary(time.Now())
		m.summaryFor("n01", fleetScope, loadSummary{Boxes: 1, Loads: map[string]dispatch.Load{}})
	}
}
