package dispatch_test

import (
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// The load: engines that are now and then two and a half times slower for half a second, and boxes that predict
// reading times wrong by a quarter.
var _ = Describe("an engine's queue of prompts", func() {
	const read = 200 * time.Millisecond
	begin := time.Unix(1000, 0)
	at := func(milliseconds int) time.Time { return begin.Add(time.Duration(milliseconds) * time.Millisecond) }
	ask := func(id string) dispatch.Reservation {
		return dispatch.Reservation{Engine: "e", PrefillTime: read, Window: time.Second, Budget: time.Second, ID: id}
	}
	var r *dispatch.Reservations
	BeforeEach(func() { r = dispatch.NewReservations() })
	delay := func(now time.Time) time.Duration {
		asked := ask("probe")
		asked.MaxDelay = time.Nanosecond
		answer := r.Reserve(asked, now)
		if answer.Taken {
			r.Finish(dispatch.FinishedPrompt{Engine: "e", ID: "probe"}, now)
		}
		return answer.Delay
	}

	It("is as long as an engine that is slower than predicted makes it", func() {
		r.Reserve(ask("a"), at(0))
		r.Reserve(ask("b"), at(0))
		Expect(delay(at(150))).To(Equal(250 * time.Millisecond))
		By("expecting a prompt that is overdue by 100 ms to take as long again, and that behind it its whole time")
		Expect(delay(at(300))).To(Equal(300 * time.Millisecond))
		r.Finish(dispatch.FinishedPrompt{Engine: "e", ID: "a"}, at(350))
		Expect(delay(at(350))).To(Equal(200 * time.Millisecond))
	})

	It("is free at once when an engine is faster than predicted, or a prompt is not sent there after all", func() {
		r.Reserve(ask("a"), at(0))
		r.Reserve(ask("b"), at(0))
		r.Finish(dispatch.FinishedPrompt{Engine: "e", ID: "b"}, at(10))
		Expect(delay(at(10))).To(Equal(190 * time.Millisecond))
		r.Finish(dispatch.FinishedPrompt{Engine: "e", ID: "a"}, at(50))
		Expect(delay(at(50))).To(BeZero())
		By("ignoring what it does not know")
		r.Finish(dispatch.FinishedPrompt{Engine: "e", ID: "a"}, at(60))
		r.Finish(dispatch.FinishedPrompt{Engine: "other", ID: "a"}, at(60))
		r.Finish(dispatch.FinishedPrompt{Engine: "e"}, at(60))
		Expect(delay(at(60))).To(BeZero())
	})

	It("forgets a prompt whose end is never reported, as that of a box that stopped", func() {
		r.Reserve(ask("a"), at(0))
		Expect(delay(at(590))).To(BeNumerically(">", 0))
		Expect(delay(at(610))).To(BeZero())
	})

	It("counts a prompt of the previous version, which reports no ends, as prefilled when that is predicted", func() {
		r.Reserve(ask(""), at(0))
		Expect(delay(at(199))).To(Equal(time.Millisecond))
		Expect(delay(at(200))).To(BeZero())
	})

	It("refuses a prompt that would wait longer than it allows, and says how long", func() {
		r.Reserve(ask("a"), at(0))
		patient, hasty := ask("b"), ask("b")
		hasty.MaxDelay = 50 * time.Millisecond
		Expect(r.Reserve(hasty, at(100))).To(Equal(dispatch.ReservationAnswer{Wait: 50 * time.Millisecond, Delay: 100 * time.Millisecond, Predicted: true}))
		Expect(r.Reserve(patient, at(100))).To(Equal(dispatch.ReservationAnswer{Taken: true, Delay: 100 * time.Millisecond, Predicted: true}))
	})

	It("bounds what a wrong message says", func() {
		r.Reserve(dispatch.Reservation{
			Engine: "e", PrefillTime: math.MaxInt64, Window: math.MaxInt64, Budget: dispatch.UnlimitedBudget, ID: "x", MaxDelay: -1,
		}, at(0))
		Expect(delay(at(0))).To(Equal(10 * time.Second))
		Expect(delay(at(31_000))).To(BeZero())
		negative := dispatch.Reservation{Engine: "e", PrefillTime: math.MinInt64, Window: -1, Budget: -1, ID: "y"}
		Expect(r.Reserve(negative, at(32_000)).Taken).To(BeTrue())
		Expect(delay(at(32_000))).To(BeZero())
		Expect(negative.Valid()).To(BeFalse())
		long := ask(strings.Repeat("x", 101))
		Expect(long.Valid()).To(BeFalse())
		sound := ask("x")
		Expect(sound.Valid()).To(BeTrue())
		By("keeping a limited number of prompts")
		for range 1000 {
			r.Reserve(dispatch.Reservation{Engine: "f", Budget: dispatch.UnlimitedBudget, PrefillTime: time.Hour, Window: time.Hour}, at(0))
		}
		Expect(r.Reserve(dispatch.Reservation{Engine: "f", Budget: dispatch.UnlimitedBudget}, at(0)).Taken).To(BeFalse())
	})
})
