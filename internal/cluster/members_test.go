package cluster

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func neverLost() bool { return false }

// smallFleet returns the membership of box b in a fleet with a and c.
func smallFleet() *Members {
	m := NewMembers(Box{Name: "b"}, neverLost)
	m.SetRegistered([]Box{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	return m
}

// largeFleet returns a box's membership in a fleet of two halls with ten boxes each. Box 0 of each hall has the most
// processor time.
func largeFleet(self string) *Members {
	var boxes []Box
	var own Box
	for n := range 20 {
		box := Box{Name: fmt.Sprintf("n%02d", n), Hall: fmt.Sprint("h", n/10), Cores: 1}
		if n%10 == 0 {
			box.Cores = 2
		}
		if box.Name == self {
			own = box
		}
		boxes = append(boxes, box)
	}
	m := NewMembers(own, neverLost)
	m.SetRegistered(boxes)
	return m
}

func (m *Members) callsAt(now time.Time) []string {
	_, calls := m.nextCalls(now)
	var names []string
	for _, c := range calls {
		names = append(names, c.name+" "+string(c.scope))
	}
	slices.Sort(names)
	return names
}

// fail has all calls that are due at a time fail, and returns the names of the boxes called.
func (m *Members) fail(now time.Time) []string {
	_, calls := m.nextCalls(now)
	var names []string
	for _, c := range calls {
		names = append(names, c.name)
		m.recordFailure(c)
	}
	return names
}

func (m *Members) report(from string, received message) {
	m.mu.Lock()
	box := m.byName[from].Box
	m.mu.Unlock()
	received.From = box
	m.applyReport(received, time.Now())
}

var _ = Describe("the plan of calls", func() {
	It("has the box with the smaller name call the other in a small fleet, and the other one only after silence", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			m.report("a", message{StoreAge: -1})
			Expect(m.callsAt(time.Now())).To(Equal([]string{"c own"}))
			Expect(m.callsAt(time.Now().Add(silenceTimeout + time.Millisecond))).To(Equal([]string{"a own"}))
		})
	})

	It("has one exchange with a box in progress at most", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			now := time.Now()
			_, calls := m.nextCalls(now)
			Expect(calls).To(HaveLen(2))
			Expect(m.callsAt(now)).To(BeEmpty())
			Expect(m.recordAnswer(calls[0])).To(BeFalse())
			Expect(m.callsAt(now)).To(HaveLen(1))
		})
	})

	It("backs off from a box that does not answer, longer with each failure, up to two seconds", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			m.SetRegistered([]Box{{Name: "c"}})
			for failures := 1; failures <= 15; failures++ {
				now := time.Now()
				Expect(m.fail(now.Add(time.Duration(failures) * time.Hour))).To(ContainElement("c"))
				state := &m.byName["c"].call
				Expect(state.backoff()).To(Equal(min(2*time.Second, time.Duration(failures)*200*time.Millisecond)))
				Expect(state.due(state.failedAt.Add(state.backoff()-time.Millisecond), 0)).To(BeFalse())
			}
		})
	})

	It("has a box of a large fleet call the relay of its hall, and the next one when that is lost", func() {
		spectest.Bubble(func() {
			m := largeFleet("n15")
			now := time.Now()
			m.lastRandomCall = now.Add(time.Hour)
			Expect(m.FollowsRelay()).To(BeTrue())
			Expect(m.callsAt(now)).To(Equal([]string{"n10 member"}))
			m.byName["n10"].call = callState{failures: lostAfterFailures}
			Expect(m.callsAt(now.Add(time.Second))).To(Equal([]string{"n10 none", "n11 member"}))
		})
	})

	It("has a relay call those of the other halls", func() {
		spectest.Bubble(func() {
			m := largeFleet("n00")
			now := time.Now()
			m.lastRandomCall = now.Add(time.Hour)
			Expect(m.FollowsRelay()).To(BeFalse())
			Expect(m.callsAt(now)).To(Equal([]string{"n10 zone"}))
		})
	})

	It("makes a box a relay if others of its hall send it their summaries", func() {
		spectest.Bubble(func() {
			m := largeFleet("n15")
			m.report("n17", message{Scope: memberScope, StoreAge: -1, Summary: &loadSummary{Boxes: 1}})
			Expect(m.FollowsRelay()).To(BeFalse())
		})
	})

	It("also calls a random box in a large fleet", func() {
		spectest.Bubble(func() {
			m := largeFleet("n15")
			now := time.Now()
			m.callsAt(now)
			Expect(m.lastRandomCall).To(Equal(now))
			m.callsAt(now.Add(randomInterval - time.Millisecond))
			Expect(m.lastRandomCall).To(Equal(now))
			m.callsAt(now.Add(randomInterval))
			Expect(m.lastRandomCall).To(Equal(now.Add(randomInterval)))
		})
	})
})

var _ = Describe("a box", func() {
	It("counts as listed once the store has listed it", func() {
		m := NewMembers(Box{Name: "b"}, neverLost)
		m.SetRegistered([]Box{{Name: "a"}})
		Expect(m.Listed()).To(BeFalse())
		m.SetRegistered([]Box{{Name: "a"}, {Name: "b"}})
		Expect(m.Listed()).To(BeTrue())
		m.SetRegistered(nil)
		Expect(m.Listed()).To(BeTrue())
	})
})

var _ = Describe("the rank of a box for watching the store", func() {
	It("is by name in a small fleet, among the boxes that report and reach the store", func() {
		spectest.Bubble(func() {
			lost := false
			m := NewMembers(Box{Name: "b"}, func() bool { return lost })
			m.SetRegistered([]Box{{Name: "a"}, {Name: "c"}})
			Expect(m.WatchRank()).To(Equal(0))
			m.report("a", message{})
			m.report("c", message{})
			Expect(m.WatchRank()).To(Equal(1))
			m.report("a", message{StoreLost: true})
			Expect(m.WatchRank()).To(Equal(0))
			lost = true
			Expect(m.WatchRank()).To(BeNumerically(">=", Watchers))
		})
	})

	It("is by hall in a large fleet, among the relays", func() {
		spectest.Bubble(func() {
			Expect(largeFleet("n15").WatchRank()).To(BeNumerically(">=", Watchers))
			m := largeFleet("n10")
			Expect(m.WatchRank()).To(Equal(0))
			m.report("n00", message{Scope: hallScope, Summary: &loadSummary{Boxes: 10}})
			Expect(m.WatchRank()).To(Equal(1))
		})
	})

	It("finds a box that the store answered recently", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			_, ok := m.ReachesStore()
			Expect(ok).To(BeFalse())
			m.report("a", message{StoreAge: reportTTL + time.Second})
			_, ok = m.ReachesStore()
			Expect(ok).To(BeFalse())
			m.report("a", message{StoreAge: time.Millisecond})
			_, ok = m.ReachesStore()
			Expect(ok).To(BeTrue())
		})
	})
})

var _ = Describe("the order holder as reported", func() {
	holder := func(name string, term int64, age time.Duration) *orderHolder {
		return &orderHolder{Name: name, Address: name, Term: term, Age: age}
	}

	It("is the one with the highest term, and within a term that of the latest report", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			m.report("a", message{OrderHolder: holder("a", 5, 0)})
			m.report("c", message{OrderHolder: holder("x", 4, 0)})
			Expect(m.reportedHolder().Name).To(Equal("a"))
			m.report("c", message{OrderHolder: holder("c", 6, time.Second)})
			Expect(m.reportedHolder().Name).To(Equal("c"))
			m.report("a", message{OrderHolder: holder("c", 6, 0)})
			Expect(m.reportedHolder().Age).To(BeZero())
		})
	})

	It("is dropped when it reports that it no longer is, and when its report is old", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			m.report("a", message{OrderHolder: holder("a", 5, 0)})
			m.report("a", message{})
			_, ok := m.Holder()
			Expect(ok).To(BeFalse())
			m.report("c", message{OrderHolder: holder("a", 5, holderTTL+time.Second)})
			_, ok = m.Holder()
			Expect(ok).To(BeFalse())
		})
	})
})

var _ = Describe("pending updates for a box", func() {
	It("are bounded, and the oldest are dropped first", func() {
		spectest.Bubble(func() {
			p := NewPendingUpdates()
			p.collect(dispatch.NewLoadTracker(), []target{{name: "a"}})
			for range maxPending {
				p.forward("c", ownScope, dispatch.Observations{Prompts: make([]dispatch.SentPrompt, 2)}, nil)
			}
			Expect(p.take("a").prompts).To(HaveLen(maxPending))
			Expect(p.take("a").prompts).To(BeEmpty())
		})
	})

	It("are forwarded from another relay to the boxes of the hall, not to relays", func() {
		spectest.Bubble(func() {
			p := NewPendingUpdates()
			p.collect(dispatch.NewLoadTracker(), []target{{name: "r", relay: true, wantsWork: true}, {name: "a", wantsWork: true}})
			work := map[residency.WorkKey]float64{{ModelKey: residency.ModelKey{Service: "s", Model: "m"}}: 3}
			p.forward("x", hallScope, dispatch.Observations{}, work)
			Expect(p.take("r").work).To(BeEmpty())
			Expect(p.take("a").workItems()).To(Equal([]workItem{{WorkKey: residency.WorkKey{ModelKey: residency.ModelKey{Service: "s", Model: "m"}}, Milliseconds: 3}}))
		})
	})
})
