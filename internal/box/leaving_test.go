package box

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An upstream that is leaving", func() {
	// lateRequests has an engine leave while the box list still lists it as before, and counts the requests that
	// reach the engine more than three seconds later. Without the guard, boxes forget again and again that it is
	// leaving.
	lateRequests := func(guard bool) (late int) {
		withFleet(fleetSpec{halls: 1, boxes: 3, engines: 2, memory: 64 * gib}, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "w1", "15GiB", "m1"))
			t.awaitModels("m1")
			time.Sleep(20 * time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			var probing sync.WaitGroup
			for _, b := range t.boxes {
				probing.Go(func() {
					defer GinkgoRecover()
					refused := probe(ctx, t, b, []string{"m1"})
					Expect(guard && len(refused) > 0).To(BeFalse(), "%v", refused)
				})
				if !guard {
					probing.Go(func() {
						for pause(ctx, 10*time.Millisecond) {
							b.view.ClearLeaving("h1-e1")
							b.forgetLeaving("h1-e1")
						}
					})
				}
			}
			time.Sleep(5 * time.Second)
			t.engines["h1-e1"].Leave()
			time.Sleep(3 * time.Second)
			before := t.engines["h1-e1"].Record().RefusedLeaving
			probing.Wait()
			late = t.engines["h1-e1"].Record().RefusedLeaving - before
		})
		return late
	}

	It("gets no new requests after three seconds although the box list lags, and no caller is refused", func() {
		Expect(lateRequests(true)).To(BeZero())
	})

	It("would get new requests if boxes relied on the box list alone (guard off)", func() {
		Expect(lateRequests(false)).To(BeNumerically(">", 0))
	})
})

// forgetLeaving makes a box forget that an engine is leaving.
func (b *testBox) forgetLeaving(id string) {
	old := b.fleet.snapshot.Load()
	next := *old
	next.engines = map[string]engineState{}
	for name, info := range old.engines {
		if name == id {
			info.holding.Leaving = false
		}
		next.engines[name] = info
	}
	b.fleet.snapshot.Store(&next)
}
