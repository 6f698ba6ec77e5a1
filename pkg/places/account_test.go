package places

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// began is when the accounts of these specs begin.
var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func noneRunning(string) int { return 0 }

func after(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// twoUpstreams are upstreams with 3 slots, and so 5 places, each.
func twoUpstreams() []Upstream {
	return []Upstream{{ID: "a", Hall: "h", Slots: 3}, {ID: "b", Hall: "k", Slots: 3}}
}

func newTestAccount() *Account {
	a := NewAccount(began)
	a.Update(twoUpstreams(), 1, noneRunning, began)
	return a
}

// offer offers an ask with 300 ms to its aim and 800 to its deadline, and returns the upstream it got.
func (a *Account) offer(id uint64, at time.Time) (upstream string, answer Answer) {
	answer = a.Offer(Ask{ID: id, Hall: "h", Aim: 300 * time.Millisecond, Deadline: 800 * time.Millisecond}, at)
	a.Assign(at)
	return a.taken[id], answer
}

// fill takes all places.
func (a *Account) fill(at time.Time) {
	for id := range uint64(10) {
		upstream, _ := a.offer(100+id, at)
		Expect(upstream).NotTo(BeEmpty())
	}
}

var _ = Describe("an account of places", func() {
	It("grants no more places than there are, and the next one when one is returned", func() {
		a := newTestAccount()
		a.fill(began)
		upstream, answer := a.offer(1, after(1))
		Expect(upstream).To(BeEmpty())
		Expect(answer).To(Equal(Answer{}))
		a.Return(Return{ID: 100, Result: Served}, after(50))
		Expect(a.Assign(after(50))).To(HaveLen(1))
		Expect(a.taken[1]).NotTo(BeEmpty())
	})

	It("chooses the upstream where the request is answered first, and of equal ones that of the box's hall", func() {
		a := newTestAccount()
		first, _ := a.offer(1, began)
		second, _ := a.offer(2, began)
		Expect([]string{first, second}).To(Equal([]string{"a", "b"}))
	})

	It("serves those that can make their aim first, then the more urgent, then those with less time", func() {
		a := newTestAccount()
		a.fill(began)
		for id, ask := range map[uint64]Ask{
			1: {Aim: time.Millisecond, Deadline: 700 * time.Millisecond},
			2: {Aim: 300 * time.Millisecond, Urgency: 2},
			3: {Aim: 300 * time.Millisecond, Urgency: 1},
			4: {Aim: 250 * time.Millisecond, Urgency: 1},
		} {
			ask.ID = id
			a.waiting = append(a.waiting, &waiter{ask: ask, aim: began.Add(ask.Aim), asked: began})
		}
		var order []uint64
		for n := range uint64(4) {
			a.Return(Return{ID: 100 + n}, after(1))
			for _, grant := range a.Assign(after(1)) {
				order = append(order, grant.ID)
			}
		}
		Expect(order).To(Equal([]uint64{4, 3, 2, 1}))
	})

	It("denies at once what cannot be served before its deadline, with the time until it can", func() {
		a := newTestAccount()
		a.fill(began)
		for id := range uint64(100) {
			_, answer := a.offer(id+1000, began)
			if answer.Denied {
				Expect(answer.Wait).To(BeNumerically("~", 250*time.Millisecond, 200*time.Millisecond))
				Expect(id).To(BeNumerically("~", 40, 20))
				return
			}
		}
		Fail("all 100 asks wait")
	})

	It("bounds the asks that wait without a target and a deadline", func() {
		a := newTestAccount()
		denied := 0
		for id := range uint64(maxWaiting + 100) {
			if a.Offer(Ask{ID: id + 1}, began).Denied {
				denied++
			}
		}
		Expect(denied).To(Equal(100))
	})

	It("frees the places of a box that died after their deadline", func() {
		a := newTestAccount()
		a.fill(began)
		a.Update(twoUpstreams(), 1, noneRunning, after(900))
		_, taken, _ := a.Counts()
		Expect(taken).To(Equal(10))
		a.Update(twoUpstreams(), 1, noneRunning, after(1001))
		_, taken, _ = a.Counts()
		Expect(taken).To(BeZero())
		Expect(a.taken).To(BeEmpty())
	})

	It("takes no place for an ask that was withdrawn before it arrived", func() {
		a := newTestAccount()
		a.Return(Return{ID: 1}, began)
		upstream, answer := a.offer(1, after(1))
		Expect(upstream).To(BeEmpty())
		Expect(answer.None).To(BeTrue())
		for id := range uint64(3 * maxWithdrawn) {
			a.Return(Return{ID: id + 10}, after(int(id)))
		}
		Expect(len(a.withdrawn)).To(BeNumerically("<=", maxWithdrawn))
	})

	It("drops asks that are not sent again, so that a place isn't kept for a box that died", func() {
		a := newTestAccount()
		a.fill(began)
		a.offer(1, after(1))
		a.Return(Return{ID: 100}, after(400))
		Expect(a.Assign(after(400))).To(BeEmpty())
	})

	It("gives an upstream that turns requests away fewer places for a while, but half of its slots", func() {
		a := newTestAccount()
		a.fill(began)
		for id := range uint64(10) {
			if a.taken[100+id] == "a" {
				a.Return(Return{ID: 100 + id, Result: TurnedAway}, after(1))
				break
			}
		}
		known, _, _ := a.Counts()
		Expect(known).To(Equal(8))
		for range 20 {
			a.records["a"].end(time.Millisecond, TurnedAway, 3, 5, after(2))
		}
		a.recount(after(2))
		known, _, _ = a.Counts()
		Expect(known).To(Equal(6))
		a.Update(twoUpstreams(), 1, noneRunning, after(1010))
		known, _, _ = a.Counts()
		Expect(known).To(Equal(10))
	})

	It("frees a place that was not returned, before its deadline, once its upstream has ended many others", func() {
		a := newTestAccount()
		a.Offer(Ask{ID: 1000, Hall: "h", Deadline: 10 * time.Second}, began)
		a.Assign(began)
		for now := 10; now < 700; now += 10 {
			a.Update(twoUpstreams(), 1, noneRunning, after(now))
			a.offer(uint64(now), after(now))
			a.Return(Return{ID: uint64(now - 20), Result: Served}, after(now))
		}
		Expect(a.records["a"].held).NotTo(HaveKey(uint64(1000)))
	})

	It("lets an upstream rest that fails at once, and uses it if all rest", func() {
		a := newTestAccount()
		for id := range uint64(10) {
			upstream, _ := a.offer(id+1, after(int(id)))
			result := Served
			if upstream == "a" {
				result = Failed
			}
			a.Return(Return{ID: id + 1, Result: result}, after(int(id)))
		}
		Expect(a.records["a"].restUntil).To(BeTemporally(">", after(10)))
		for id := range uint64(4) {
			upstream, _ := a.offer(50+id, after(10))
			Expect(upstream).To(Equal("b"))
		}
		a.records["b"].restUntil = after(1000)
		upstream, _ := a.offer(60, after(10))
		Expect(upstream).NotTo(BeEmpty())
	})

	It("sends less to an upstream from which answers are long in coming, before the first one is there", func() {
		a := newTestAccount()
		now := 0
		for ; now < 1000; now += 10 {
			a.Update(twoUpstreams(), 1, noneRunning, after(now))
			upstream, _ := a.offer(uint64(now+1), after(now))
			if upstream == "b" {
				a.Return(Return{ID: uint64(now + 1), Result: Served}, after(now+5))
			}
		}
		Expect(len(a.records["a"].held)).To(BeNumerically("<", 4))
	})

	It("denies no more because of a single place that is not returned", func() {
		a := newTestAccount()
		a.offer(1000, began) // Its box dies.
		for now := 10; now < 700; now += 10 {
			a.Update(twoUpstreams(), 1, noneRunning, after(now))
			a.offer(uint64(now), after(now))
			a.Return(Return{ID: uint64(now - 50), Result: Served}, after(now))
		}
		a.Update(twoUpstreams(), 1, noneRunning, after(700))
		for n := range a.usable {
			Expect(a.work(&a.usable[n], after(700))).To(BeNumerically("~", 50*time.Millisecond, 15*time.Millisecond))
		}
	})

	It("counts what boxes report at first, and its share of the places during a network partition", func() {
		a := NewAccount(began)
		a.Update(twoUpstreams(), 1, func(string) int { return 3 }, began)
		_, taken, _ := a.Counts()
		Expect(taken).To(Equal(6))
		a.Update(twoUpstreams(), 0.5, noneRunning, after(100))
		known, taken, _ := a.Counts()
		Expect(taken).To(BeZero())
		Expect(known).To(Equal(6))
		a.Update(twoUpstreams(), 0.6, noneRunning, after(100))
		known, _, _ = a.Counts()
		Expect(known).To(Equal(6))
	})

	It("knows no upstream for an ask that excludes all, and leaves it to the box", func() {
		a := newTestAccount()
		Expect(a.Offer(Ask{ID: 1, Except: []string{"a", "b"}}, began).None).To(BeTrue())
	})

	It("bounds hostile values", func() {
		for _, upstream := range []Upstream{
			{ID: "a", Slots: -5}, {ID: "a", Slots: math.MaxInt}, {ID: "a"},
		} {
			a := NewAccount(began)
			a.Update([]Upstream{upstream}, math.NaN(), func(string) int { return -1 }, began)
			a.Return(Return{ID: 9, Result: 77}, began)
			ask := Ask{ID: 1, Urgency: math.MinInt, Aim: -1, Deadline: math.MaxInt64, Except: make([]string, 1000)}
			Expect(a.Offer(ask, began).Denied).To(BeFalse())
			Expect(a.Assign(began)).To(HaveLen(1))
			a.Return(Return{ID: 1, Result: -3}, began)
			known, taken, _ := a.Counts()
			Expect(known).To(BeNumerically("<=", 2*maxSlots))
			Expect(known).To(BeNumerically(">=", 1))
			Expect(taken).To(BeZero())
		}
	})
})
