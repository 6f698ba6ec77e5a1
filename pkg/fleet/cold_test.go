package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("an engine that is cold, or may be", func() {
	const coldStart = 3 * time.Second
	entry := func(revision int64, cold time.Duration) []Upstream {
		return []Upstream{{ID: "a", Service: "s", Hall: "h", Address: "a:80", Revision: revision, Cold: cold}}
	}
	cold := func(d *Directory) bool { return d.RateBound("a", coldStart).Cold }
	listed := func(span time.Duration) *Directory {
		d := New()
		d.SetList(1, entry(1, span), time.Now())
		return d
	}

	It("is cold for as long as its entry states, and until a later entry ends that", func() {
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

	It("is cold by an answer, which is reported once", func() {
		spectest.Bubble(func() {
			d := listed(0)
			reported := 0
			d.OnNotice = func(NoticeEvent) { reported++ }
			d.RecordNotice("a", Notice{Cold: time.Second})
			d.RecordNotice("a", Notice{Cold: time.Second})
			Expect(cold(d)).To(BeTrue())
			Expect(reported).To(Equal(1))
		})
	})

	DescribeTable("may be cold for the time of a cold start when it comes back", func(leaveAndReturn func(*Directory)) {
		spectest.Bubble(func() {
			d := listed(0)
			Expect(cold(d)).To(BeFalse())
			leaveAndReturn(d)
			Expect(cold(d)).To(BeTrue())
			time.Sleep(coldStart + time.Millisecond)
			Expect(cold(d)).To(BeFalse())
		})
	},
		Entry("from an evacuation of its hall", func(d *Directory) {
			d.SetEvacuated(2, map[string]bool{"h": true})
			d.SetEvacuated(3, nil)
		}),
		Entry("from failed connections", func(d *Directory) {
			d.MarkUnreachable("a")
			Expect(cold(d)).To(BeTrue())
			d.MarkReachable("a")
		}),
		Entry("from a lapsed entry", func(d *Directory) {
			d.SetList(2, nil, time.Now())
			d.SetList(3, entry(1, 0), time.Now())
		}),
	)

	It("gets nothing from this box until its keeper may be asked again, and is forgotten when it is gone", func() {
		spectest.Bubble(func() {
			d := listed(time.Minute)
			until := time.Now().Add(time.Second)
			d.DeferUntil("a", until)
			Expect(d.RateBound("a", coldStart).DeferredUntil).To(Equal(until))
			d.SetList(2, nil, time.Now())
			time.Sleep(lapseGrace + time.Second)
			d.DropLapsed()
			Expect(d.cold).To(BeEmpty())
		})
	})
})
