package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("a rate limit that an upstream names", func() {
	listed := func() *Directory {
		d := New()
		d.SetList(1, []Upstream{{ID: "a", Service: "s", Hall: "h", Address: "a:80", Revision: 1}}, time.Now())
		return d
	}
	limit := func(perSecond float64) *float64 { return &perSecond }
	// answered sends one request, whose answer takes a while and names a limit, or none.
	answered := func(d *Directory, took time.Duration, named *float64) {
		to, err := d.Begin(d.Get("a").Upstream)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(took)
		to.HandleNotice(Notice{Limit: named, Unlimited: named == nil})
		to.End()
	}

	It("lasts until the answer to a later request names none", func() {
		spectest.Bubble(func() {
			d := listed()
			var kinds []string
			d.OnNotice = func(n NoticeEvent) { kinds = append(kinds, n.Kinds()...) }
			slow, err := d.Begin(d.Get("a").Upstream)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
			answered(d, time.Millisecond, limit(2))
			answered(d, time.Millisecond, limit(2))
			slow.HandleNotice(Notice{Unlimited: true})
			Expect(d.Limit("a").Named()).To(BeTrue(), "ended by the answer to an earlier request")
			answered(d, time.Millisecond, limit(0.5))
			Expect(d.Limit("a").PerSecond).To(Equal(0.5))
			answered(d, time.Millisecond, nil)
			answered(d, time.Millisecond, nil)
			Expect(d.Limit("a").Named()).To(BeFalse())
			Expect(kinds).To(Equal([]string{"limit", "limit", "limit ended"}))
		})
	})

	It("is that of the latest answer at any box, and is reported again after a box reported an older one", func() {
		spectest.Bubble(func() {
			d := listed()
			time.Sleep(time.Minute)
			answered(d, time.Millisecond, limit(2))
			Expect(d.TakeChangedLimits()).To(Equal([]string{"a"}))
			Expect(d.TakeChangedLimits()).To(BeEmpty())
			time.Sleep(time.Second)
			Expect(d.ApplyLimitReports([]LimitReport{{Upstream: "a", PerSecond: limit(3), Age: 5 * time.Second}})).To(BeEmpty())
			Expect(d.Limit("a").PerSecond).To(Equal(2.0))
			Expect(d.TakeChangedLimits()).To(Equal([]string{"a"}))
			Expect(d.ApplyLimitReports([]LimitReport{{Upstream: "a", PerSecond: limit(2)}})).To(BeEmpty())
			Expect(d.ApplyLimitReports([]LimitReport{{Upstream: "a", PerSecond: limit(3)}})).To(Equal([]string{"a"}))
			Expect(d.ApplyLimitReports([]LimitReport{{Upstream: "a", Age: -time.Hour}})).To(Equal([]string{"a"}))
			Expect(d.Limit("a").Named()).To(BeFalse())
			Expect(d.TakeChangedLimits()).To(BeEmpty(), "what other boxes reported")
			Expect(d.ApplyLimitReports([]LimitReport{{Upstream: "unknown", PerSecond: limit(3)}})).To(BeEmpty())
			Expect(d.LimitedUpstreams()).To(BeEmpty())
		})
	})

	It("ends the deferral of requests when it changes", func() {
		spectest.Bubble(func() {
			d := listed()
			deferred := func() bool { return d.RateBound("a", 0).DeferredUntil.After(time.Now()) }
			answered(d, time.Millisecond, limit(1))
			d.DeferUntil("a", time.Now().Add(time.Second))
			Expect(deferred()).To(BeTrue())
			answered(d, time.Millisecond, limit(1))
			Expect(deferred()).To(BeTrue())
			Expect(d.ApplyLimitReports([]LimitReport{{Upstream: "a", PerSecond: limit(9)}})).To(HaveLen(1))
			Expect(deferred()).To(BeFalse())
		})
	})

	It("is forgotten after its end, and when the upstream has been gone for long", func() {
		spectest.Bubble(func() {
			d := listed()
			answered(d, time.Millisecond, limit(1))
			time.Sleep(time.Hour)
			d.ExpireMarks()
			Expect(d.LimitedUpstreams()).To(Equal([]string{"a"}))
			answered(d, time.Millisecond, nil)
			time.Sleep(endedLimitRetention + time.Second)
			d.ExpireMarks()
			Expect(d.notices).To(BeEmpty())
			answered(d, time.Millisecond, limit(1))
			d.SetList(2, nil, time.Now().Add(-2*time.Second))
			time.Sleep(noticeRetention + time.Second)
			d.ExpireMarks()
			Expect(d.notices).To(BeEmpty())
		})
	})
})
