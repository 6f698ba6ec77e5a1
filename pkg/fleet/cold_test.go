package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("an engine that is cold, or may be", func() {
	const start = 3 * time.Second
	entry := func(revision int64, cold time.Duration) []Upstream {
		return []Upstream{{ID: "a", Service: "s", Hall: "h", Address: "a:80", Revision: revision, Cold: cold}}
	}
	cold := func(d *Directory) bool { return d.RateBound("a", start).Cold }
	listed := func(span time.Duration) *Directory {
		d := New()
		d.SetList(1, entry(1, span), time.Now())
		return d
	}

	It("is so for as long as its entry says, and until a later one ends it", func() {
		spectest.Bubble(func() {
			d := listed(2 * time.Second)
			Expect(cold(d)).To(BeTrue())
			d.MergeResidency(1, map[string]Residency{"a": {Sequence: 1}})
			time.Sleep(1900 * time.Millisecond)
			Expect(cold(d)).To(BeTrue())
			time.Sleep(200 * time.Millisecond)
			Expect(cold(d)).To(BeFalse())
			d.SetList(2, entry(2, time.Hour), time.Now())
			d.SetList(3, entry(3, 0), time.Now())
			Expect(cold(d)).To(BeFalse())
			d.SetList(4, entry(4, 24*time.Hour), time.Now())
			time.Sleep(maxCold + time.Second)
			Expect(cold(d)).To(BeFalse())
		})
	})

	It("is so by an answer, which is news once", func() {
		spectest.Bubble(func() {
			d := listed(0)
			told := 0
			d.OnNotice = func(Noted) { told++ }
			d.Note("a", Notice{Cold: time.Second})
			d.Note("a", Notice{Cold: time.Second})
			Expect(cold(d)).To(BeTrue())
			Expect(told).To(Equal(1))
		})
	})

	DescribeTable("may be for the time of a start when it is back", func(away func(*Directory)) {
		spectest.Bubble(func() {
			d := listed(0)
			Expect(cold(d)).To(BeFalse())
			away(d)
			Expect(cold(d)).To(BeTrue())
			time.Sleep(start + time.Millisecond)
			Expect(cold(d)).To(BeFalse())
		})
	},
		Entry("from an evacuation of its hall", func(d *Directory) {
			d.SetEvacuated(2, map[string]bool{"h": true})
			d.SetEvacuated(3, nil)
		}),
		Entry("from taking no connection", func(d *Directory) {
			d.MarkUnreachable("a")
			Expect(cold(d)).To(BeTrue())
			d.MarkReachable("a")
		}),
		Entry("from a lapsed entry", func(d *Directory) {
			d.SetList(2, nil, time.Now())
			d.SetList(3, entry(1, 0), time.Now())
		}),
	)

	It("is held back by this box until its keeper may be asked again, and forgotten when it is gone", func() {
		spectest.Bubble(func() {
			d := listed(time.Minute)
			until := time.Now().Add(time.Second)
			d.HoldBack("a", until)
			Expect(d.RateBound("a", start).HeldUntil).To(Equal(until))
			d.SetList(2, nil, time.Now())
			time.Sleep(lapseTime + time.Second)
			d.DropLapsed()
			Expect(d.cold).To(BeEmpty())
		})
	})
})
