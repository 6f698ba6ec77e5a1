package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("the directory, when the store came back from a copy", func() {
	entry := func(id string, revision int64) fleet.Upstream {
		return fleet.Upstream{ID: id, Service: "s", Address: id + ":1", Hall: "h", Revision: revision}
	}
	leaving := func(id string, revision int64) fleet.Upstream {
		upstream := entry(id, revision)
		upstream.Leaving = true
		return upstream
	}
	usable := func(d *fleet.Directory, id string) bool {
		state := d.Get(id)
		return state != nil && state.Usable(time.Now())
	}
	inBubble := func(f func(d *fleet.Directory)) {
		spectest.Bubble(func() { f(fleet.New()) })
	}
	// after advances the time, as a box that drops lapsed upstreams does.
	after := func(d *fleet.Directory, span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); {
			time.Sleep(100 * time.Millisecond)
			d.DropLapsed()
		}
	}

	It("goes on using an upstream whose entry was lost, also if the list was out of date before, until it is written again", func() {
		inBubble(func(d *fleet.Directory) {
			old := time.Now()
			d.ChangeList(10, fleet.ListChange{Put: []fleet.Upstream{entry("e", 9)}, PreviousCurrentAt: old})
			time.Sleep(10 * time.Second)
			d.ChangeList(20, fleet.ListChange{Dropped: []string{"e"}, PreviousCurrentAt: old, Restored: true})
			after(d, 2*time.Second)
			Expect(usable(d, "e")).To(BeTrue())
			d.ChangeList(21, fleet.ListChange{Put: []fleet.Upstream{entry("e", 21)}, PreviousCurrentAt: time.Now()})
			after(d, 10*time.Second)
			Expect(usable(d, "e")).To(BeTrue())
		})
	})

	It("drops one whose entry is not written again", func() {
		inBubble(func(d *fleet.Directory) {
			d.ChangeList(10, fleet.ListChange{Put: []fleet.Upstream{entry("e", 9)}, PreviousCurrentAt: time.Now()})
			d.ChangeList(20, fleet.ListChange{Dropped: []string{"e"}, PreviousCurrentAt: time.Now(), Restored: true})
			after(d, 3*time.Second)
			Expect(d.Get("e")).To(BeNil())
		})
	})

	It("sends nothing to one that was leaving and is listed as ready again", func() {
		inBubble(func(d *fleet.Directory) {
			d.ChangeList(10, fleet.ListChange{Put: []fleet.Upstream{leaving("e", 9)}, PreviousCurrentAt: time.Now()})
			d.ChangeList(20, fleet.ListChange{Put: []fleet.Upstream{entry("e", 19)}, PreviousCurrentAt: time.Now(), Restored: true})
			Expect(usable(d, "e")).To(BeFalse())
			_, err := d.Begin(&fleet.Upstream{ID: "e"})
			Expect(err).To(MatchError(fleet.ErrLeaving))
			Expect(d.LeavingByAnswer()).To(Equal([]string{"e"}), "other boxes are not told")
			d.ChangeList(21, fleet.ListChange{Put: []fleet.Upstream{entry("e", 21)}, PreviousCurrentAt: time.Now()})
			Expect(usable(d, "e")).To(BeFalse())
		})
	})

	It("sends nothing to one that had left and is listed again", func() {
		inBubble(func(d *fleet.Directory) {
			d.ChangeList(10, fleet.ListChange{Put: []fleet.Upstream{leaving("e", 9)}, PreviousCurrentAt: time.Now()})
			d.ChangeList(11, fleet.ListChange{Dropped: []string{"e"}, PreviousCurrentAt: time.Now()})
			Expect(d.Get("e")).To(BeNil())
			d.ChangeList(20, fleet.ListChange{Put: []fleet.Upstream{entry("e", 19)}, PreviousCurrentAt: time.Now(), Restored: true})
			after(d, time.Minute)
			Expect(usable(d, "e")).To(BeFalse())
		})
	})

	It("sends nothing to one whose entry had gone, until that changes or stays for longer than an entry without heartbeats", func() {
		for _, writes := range []bool{true, false} {
			inBubble(func(d *fleet.Directory) {
				d.ChangeList(10, fleet.ListChange{Put: []fleet.Upstream{entry("e", 9)}, PreviousCurrentAt: time.Now()})
				d.ChangeList(11, fleet.ListChange{Dropped: []string{"e"}, PreviousCurrentAt: time.Now()})
				after(d, 2*time.Second)
				Expect(d.Get("e")).To(BeNil())
				d.ChangeList(20, fleet.ListChange{Put: []fleet.Upstream{entry("e", 19)}, PreviousCurrentAt: time.Now(), Restored: true})
				after(d, 4*time.Second)
				Expect(usable(d, "e")).To(BeFalse())
				if writes {
					d.ChangeList(21, fleet.ListChange{Put: []fleet.Upstream{entry("e", 21)}, PreviousCurrentAt: time.Now()})
				} else {
					after(d, 2*time.Second)
				}
				Expect(usable(d, "e")).To(BeTrue(), "writes: %v", writes)
			})
		}
	})

	It("sends nothing for longer than its grace to one that had lapsed when the store came back with its entry", func() {
		inBubble(func(d *fleet.Directory) {
			d.ChangeList(10, fleet.ListChange{Put: []fleet.Upstream{entry("e", 9)}, PreviousCurrentAt: time.Now()})
			d.ChangeList(11, fleet.ListChange{Dropped: []string{"e"}, PreviousCurrentAt: time.Now()})
			d.ChangeList(20, fleet.ListChange{Put: []fleet.Upstream{entry("e", 19)}, PreviousCurrentAt: time.Now(), Restored: true})
			after(d, 1600*time.Millisecond)
			Expect(usable(d, "e")).To(BeFalse())
		})
	})

	It("keeps an upstream whose process the copy knows as replaced, or lists at the address of an earlier one", func() {
		inBubble(func(d *fleet.Directory) {
			second := entry("e@2000", 9)
			d.ChangeList(10, fleet.ListChange{Put: []fleet.Upstream{entry("e@1000", 8)}, PreviousCurrentAt: time.Now()})
			d.ChangeList(11, fleet.ListChange{Dropped: []string{"e@1000"}, Put: []fleet.Upstream{second}, PreviousCurrentAt: time.Now()})
			d.ChangeList(20, fleet.ListChange{Dropped: []string{"e@2000"}, Put: []fleet.Upstream{entry("e@1000", 19)}, PreviousCurrentAt: time.Now(), Restored: true})
			d.ChangeList(21, fleet.ListChange{Put: []fleet.Upstream{entry("other", 21)}, PreviousCurrentAt: time.Now()})
			Expect(usable(d, "e@2000")).To(BeTrue())
			Expect(usable(d, "e@1000")).To(BeFalse())
		})
	})

	It("does not count an upstream as cold again because its entry was copied", func() {
		inBubble(func(d *fleet.Directory) {
			cold := entry("e", 9)
			cold.Cold = 10 * time.Second
			d.ChangeList(10, fleet.ListChange{Put: []fleet.Upstream{cold}, PreviousCurrentAt: time.Now()})
			Expect(d.RateBound("e", time.Second).Any()).To(BeTrue())
			time.Sleep(11 * time.Second)
			cold.Revision = 19
			d.ChangeList(20, fleet.ListChange{Put: []fleet.Upstream{cold}, PreviousCurrentAt: time.Now(), Restored: true})
			Expect(d.RateBound("e", time.Second).Any()).To(BeFalse())
		})
	})
})
