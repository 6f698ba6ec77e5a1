package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

var _ = Describe("reservations", func() {
	const read, window, budget = 240 * time.Millisecond, 500 * time.Millisecond, 420 * time.Millisecond
	begin := time.Unix(1000, 0)
	ask := func(engine string, length time.Duration) dispatch.Reservation {
		return dispatch.Reservation{Engine: engine, PrefillTime: length, Window: window, Budget: budget}
	}
	taken := dispatch.ReservationAnswer{Taken: true, Predicted: true}
	takenAfter := func(delay time.Duration) dispatch.ReservationAnswer {
		return dispatch.ReservationAnswer{Taken: true, Delay: delay, Predicted: true}
	}

	It("are taken while an engine prefills for no longer than the budget in a window", func() {
		r := dispatch.NewReservations()
		Expect(r.Reserve(ask("a", read), begin)).To(Equal(taken))
		By("returning when there will be time")
		Expect(r.Reserve(ask("a", read), begin)).To(Equal(dispatch.ReservationAnswer{Wait: 80 * time.Millisecond, Delay: read, Predicted: true}))
		Expect(r.Reserve(ask("a", read), begin.Add(240*time.Millisecond)).Taken).To(BeFalse())
		Expect(r.Reserve(ask("a", read), begin.Add(320*time.Millisecond))).To(Equal(taken))
		By("keeping engines separate, and dropping spans that ended")
		Expect(r.Reserve(ask("b", read), begin)).To(Equal(taken))
		Expect(r.Reserve(ask("b", read), begin.Add(time.Hour))).To(Equal(taken))
	})

	It("are taken for several short prompts at once", func() {
		r := dispatch.NewReservations()
		for n := range 5 {
			Expect(r.Reserve(ask("a", 80*time.Millisecond), begin)).To(Equal(takenAfter(time.Duration(n) * 80 * time.Millisecond)))
		}
		Expect(r.Reserve(ask("a", 80*time.Millisecond), begin).Taken).To(BeFalse())
	})

	It("are taken for a prompt beyond the budget if the engine prefills nothing else", func() {
		r := dispatch.NewReservations()
		Expect(r.Reserve(ask("a", time.Second), begin)).To(Equal(taken))
		Expect(r.Reserve(ask("a", time.Second), begin.Add(1200*time.Millisecond))).To(Equal(taken))
		Expect(r.Reserve(ask("a", read), begin.Add(1300*time.Millisecond)).Taken).To(BeFalse())
	})

	It("are always taken for a request that can't wait", func() {
		r := dispatch.NewReservations()
		urgent := ask("a", read)
		urgent.Budget = dispatch.UnlimitedBudget
		for n := range 10 {
			Expect(r.Reserve(urgent, begin)).To(Equal(takenAfter(time.Duration(n) * read)))
		}
		Expect(r.Reserve(ask("a", read), begin).Taken).To(BeFalse())
	})
})

var _ = Describe("what is reserved", func() {
	choose := func(promptTokens int, gap time.Duration) (dispatch.Reservation, bool) {
		need := dispatch.Requirements{Service: "s", Model: "m", PromptTokens: promptTokens, GapTarget: gap, EventTokens: 6}
		chooser := dispatch.Chooser{Loads: dispatch.NewLoadTracker()}
		choice, ok := chooser.Choose(need, []*fleet.State{{Upstream: &fleet.Upstream{ID: "e", Service: "s", Slots: 64}}})
		Expect(ok).To(BeTrue())
		return choice.Reservation(need)
	}

	It("is the prefill time of a long prompt, within the allowed pause less the time to decode an event", func() {
		reserved, worthIt := choose(9190, 500*time.Millisecond)
		Expect(worthIt).To(BeTrue())
		Expect(reserved.Engine).To(Equal("e"))
		Expect(reserved.PrefillTime).To(BeNumerically("~", 242*time.Millisecond, time.Millisecond))
		Expect(reserved.Window).To(Equal(500 * time.Millisecond))
		Expect(reserved.Budget).To(Equal(420 * time.Millisecond))
	})

	It("is nothing for a short prompt, or without a gap target", func() {
		_, worthIt := choose(500, 500*time.Millisecond)
		Expect(worthIt).To(BeFalse())
		_, worthIt = choose(9190, 0)
		Expect(worthIt).To(BeFalse())
	})
})

// BenchmarkReserve reserves time at one of many engines.
func BenchmarkReserve(b *testing.B) {
	r := dispatch.NewReservations()
	names := make([]string, 600)
	for n := range names {
		names[n] = fmt.Sprint("i-", n)
	}
	now := time.Now()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		r.Reserve(dispatch.Reservation{Engine: names[n%len(names)], PrefillTime: time.Millisecond, Window: time.Second, Budget: time.Second}, now)
		n++
	}
}
