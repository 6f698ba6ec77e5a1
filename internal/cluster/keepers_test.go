package cluster

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// countByKeeper counts, out of a number of customers, those that each box is the keeper of.
func (m *Members) countByKeeper(count int) map[string]int {
	kept := map[string]int{}
	for n := range count {
		kept[m.keeperOf(fmt.Sprint("c", n)).Name]++
	}
	return kept
}

var _ = Describe("the keepers of quotas", func() {
	It("are the same as seen by all boxes, and a box with more processor time keeps more quotas", func() {
		const count = 2000
		kept := largeFleet("n00").countByKeeper(count)
		Expect(largeFleet("n17").countByKeeper(count)).To(Equal(kept))
		Expect(kept).To(HaveLen(20))
		single, double := kept["n01"], kept["n00"]
		Expect(float64(double) / float64(single)).To(BeNumerically("~", 2, 0.7))
	})

	It("change only for the customers of a box that is removed", func() {
		m := largeFleet("n00")
		before := map[string]string{}
		for n := range 500 {
			customer := fmt.Sprint("c", n)
			before[customer] = m.keeperOf(customer).Name
		}
		var left []Box
		for _, other := range m.byName {
			if other.Name != "n07" {
				left = append(left, other.Box)
			}
		}
		m.SetRegistered(left)
		for customer, keeper := range before {
			if keeper == "n07" {
				Expect(m.keeperOf(customer).Name).NotTo(Equal("n07"))
			} else {
				Expect(m.keeperOf(customer).Name).To(Equal(keeper))
			}
		}
	})

	It("do not include boxes that the store does not list yet, whose share is minimal until then", func() {
		spectest.Bubble(func() {
			m := NewMembers(Box{Name: "b"}, neverLost)
			Expect(m.reachableShare(time.Now())).To(Equal(unlistedShare))
			m.SetRegistered([]Box{{Name: "a"}, {Name: "c"}})
			for n := range 100 {
				Expect(m.keeperOf(fmt.Sprint("c", n)).Name).NotTo(Equal("b"))
			}
			m.SetRegistered([]Box{{Name: "a"}, {Name: "b"}, {Name: "c"}})
			Expect(m.countByKeeper(100)).To(HaveKey("b"))
			Expect(m.reachableShare(time.Now())).To(BeNumerically(">", unlistedShare))
		})
	})

	It("are not called for a while after they failed to answer", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			Expect(m.mayCallKeeper("a", methodSpend, time.Now())).To(BeTrue())
			Expect(m.recordKeeperFailure("a", methodSpend, time.Now())).To(BeTrue())
			Expect(m.recordKeeperFailure("a", methodSpend, time.Now())).To(BeFalse())
			Expect(m.mayCallKeeper("a", methodSpend, time.Now())).To(BeFalse())
			time.Sleep(keeperRetryDelay)
			Expect(m.mayCallKeeper("a", methodSpend, time.Now())).To(BeTrue())
			Expect(m.recordKeeperAnswer("a", methodSpend)).To(BeTrue())
			Expect(m.recordKeeperAnswer("a", methodSpend)).To(BeFalse())
		})
	})

	It("hold the share of the boxes that are in touch", func() {
		spectest.Bubble(func() {
			m := smallFleet()
			By("assuming at the start that most boxes are in touch")
			Expect(m.reachableShare(time.Now())).To(Equal(minStartupShare))
			time.Sleep(startupPeriod)
			Expect(m.reachableShare(time.Now())).To(BeNumerically("~", 1.0/3, 0.01))
			m.applyReport(message{From: Box{Name: "a"}, Scope: ownScope, Summary: &loadSummary{Boxes: 1}}, time.Now())
			Expect(m.reachableShare(time.Now())).To(BeNumerically("~", 2.0/3, 0.01))
			m.applyReport(message{From: Box{Name: "c"}, Scope: ownScope, Summary: &loadSummary{Boxes: 1}}, time.Now())
			Expect(m.reachableShare(time.Now())).To(Equal(1.0))
			time.Sleep(reportTTL)
			Expect(m.reachableShare(time.Now())).To(BeNumerically("~", 1.0/3, 0.01))
		})
	})

	It("of a hall are its relay, with the share of the boxes that follow it", func() {
		spectest.Bubble(func() {
			relay := largeFleet("n00")
			Expect(relay.hallKeeper().Name).To(Equal("n00"))
			Expect(largeFleet("n05").hallKeeper().Name).To(Equal("n00"))
			for _, name := range []string{"n01", "n02", "n03"} {
				relay.applyReport(message{From: Box{Name: name, Hall: "h0", Cores: 1}, Scope: memberScope, Summary: &loadSummary{Boxes: 1}}, time.Now())
			}
			relay.applyReport(message{From: Box{Name: "n10", Hall: "h1", Cores: 2}, Scope: hallScope, Summary: &loadSummary{Boxes: 10}}, time.Now())
			Expect(relay.hallShare(time.Now())).To(BeNumerically("~", 4.0/20, 0.001))
		})
	})
})

var _ = Describe("reservations of engines' time", func() {
	It("are requested only in fleets with relays", func() {
		small := &Reservations{Members: smallFleet(), Kept: dispatch.NewReservations(), Log: zap.NewNop()}
		_, err := small.Reserve(context.Background(), dispatch.Reservation{Engine: "e"})
		Expect(err).To(MatchError(errFreshLoads))
		m := largeFleet("n00")
		own := ""
		for n := 0; own == ""; n++ {
			if name := fmt.Sprint("e", n); m.keeperOf(name).Name == "n00" {
				own = name
			}
		}
		large := &Reservations{Members: m, Kept: dispatch.NewReservations(), Log: zap.NewNop()}
		answer, err := large.Reserve(context.Background(), dispatch.Reservation{Engine: own, PrefillTime: time.Second})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Taken).To(BeTrue())
	})

	It("end when the prompt was prefilled, and a keeper that does not know such reports still reserves", func() {
		m := largeFleet("n00")
		own, other := "", ""
		for n := 0; own == "" || other == ""; n++ {
			name := fmt.Sprint("e", n)
			if m.keeperOf(name).Name == "n00" {
				own = name
			} else {
				other = name
			}
		}
		r := &Reservations{Members: m, Kept: dispatch.NewReservations(), Log: zap.NewNop()}
		asked := dispatch.Reservation{Engine: own, PrefillTime: time.Second, Window: time.Second, Budget: time.Second, ID: "a"}
		_, err := r.Reserve(context.Background(), asked)
		Expect(err).NotTo(HaveOccurred())
		r.Finish(context.Background(), dispatch.FinishedPrompt{Engine: own, ID: "a"})
		answer, err := r.Reserve(context.Background(), asked)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(dispatch.ReservationAnswer{Taken: true, Predicted: true}))
		keeper := m.keeperOf(other).Name
		m.recordKeeperFailure(keeper, methodFinish, time.Now())
		Expect(m.mayCallKeeper(keeper, methodFinish, time.Now())).To(BeFalse())
		Expect(m.mayCallKeeper(keeper, methodReserve, time.Now())).To(BeTrue())
	})

	It("keep the form of their messages, which the previous version reads without the new fields", func() {
		Expect(asJSON(dispatch.Reservation{Engine: "e", PrefillTime: 1, Window: 2, Budget: 3})).To(Equal(`{"engine":"e","read":1,"window":2,"budget":3}`))
		Expect(asJSON(dispatch.Reservation{ID: "a", MaxDelay: 4})).To(Equal(`{"engine":"","read":0,"window":0,"budget":0,"id":"a","delay":4}`))
		Expect(asJSON(dispatch.ReservationAnswer{Taken: true})).To(Equal(`{"taken":true}`))
		Expect(asJSON(dispatch.ReservationAnswer{Wait: 1, Delay: 2, Predicted: true})).To(Equal(`{"taken":false,"wait":1,"delay":2,"predicted":true}`))
	})
})
