package fleet

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("what an upstream states in its answers", func() {
	entry := func(id string, revision int64) Upstream {
		return Upstream{ID: id, Service: "s", Hall: "h", Address: "10.0.0.1:80", Revision: revision}
	}
	listed := func(list ...Upstream) *Directory {
		d := New()
		d.SetList(1, list, time.Now())
		return d
	}
	// send sends one request whose answer has a notice.
	send := func(d *Directory, id string, n Notice) error {
		to, err := d.Begin(d.Get(id).Upstream)
		if err != nil {
			return err
		}
		to.HandleNotice(n)
		to.End()
		return nil
	}

	It("makes it leave at once, and no list or residency revokes that", func() {
		spectest.Bubble(func() {
			d := listed(entry("a", 1))
			Expect(send(d, "a", Notice{Leaving: true})).To(Succeed())
			Expect(d.Get("a").Usable(time.Now())).To(BeFalse())
			Expect(d.OfService("s")[0].Leaving).To(BeTrue())
			Expect(d.SetList(2, []Upstream{entry("a", 2)}, time.Now())).To(BeEmpty())
			Expect(d.Get("a").Leaving).To(BeTrue())
			d.MergeResidency(1, map[string]Residency{"a": {Sequence: 1, Loaded: []string{"m"}}})
			Expect(d.Get("a").Leaving).To(BeTrue())
			Expect(send(d, "a", Notice{})).To(MatchError(ErrLeaving))
		})
	})

	It("is reported once, also where concurrent answers state it", func() {
		spectest.Bubble(func() {
			d := listed(entry("a", 1))
			var kinds [][]string
			d.OnNotice = func(n NoticeEvent) { kinds = append(kinds, n.Kinds()) }
			for _, n := range []Notice{{Leaving: true, Backoff: time.Second}, {Leaving: true, Backoff: time.Second}, {Leaving: true}, {}} {
				d.RecordNotice("a", n)
			}
			Expect(kinds).To(Equal([][]string{{"leaving", "rest"}, {"rest"}}))
		})
	})

	It("holds when its entry is lost and comes back, and is forgotten long after the upstream is gone", func() {
		spectest.Bubble(func() {
			d := listed(entry("a", 1))
			Expect(send(d, "a", Notice{Leaving: true})).To(Succeed())
			d.SetList(2, nil, time.Now())
			time.Sleep(time.Minute)
			d.DropLapsed()
			Expect(d.Get("a")).To(BeNil())
			d.ExpireMarks()
			d.SetList(3, []Upstream{entry("a", 3)}, time.Now())
			Expect(d.Get("a").Leaving).To(BeTrue())
			d.SetList(4, nil, time.Now())
			time.Sleep(noticeRetention + time.Minute)
			d.DropLapsed()
			d.ExpireMarks()
			Expect(d.notices).To(BeEmpty())
		})
	})

	It("belongs to one incarnation: a restart under its name is free of it, and late answers of the former do not bind the new one", func() {
		spectest.Bubble(func() {
			first, next := IncarnationID("a", 1000), IncarnationID("a", 2000)
			d := listed(entry(first, 1))
			former, err := d.Begin(d.Get(first).Upstream)
			Expect(err).NotTo(HaveOccurred())
			Expect(send(d, first, Notice{Backoff: time.Minute})).To(Succeed())
			d.SetList(2, []Upstream{entry(next, 2)}, time.Now())
			Expect(send(d, next, Notice{})).To(Succeed())
			former.HandleNotice(Notice{Leaving: true, Backoff: time.Minute})
			former.End()
			Expect(d.Get(next).Leaving).To(BeFalse())
			Expect(send(d, next, Notice{})).To(Succeed())
		})
	})

	It("is reported to other boxes until the list has it, and counts there for upstreams that they list", func() {
		spectest.Bubble(func() {
			d, other := listed(entry("a", 1)), listed(entry("a", 1))
			Expect(send(d, "a", Notice{Leaving: true})).To(Succeed())
			Expect(d.LeavingByAnswer()).To(Equal([]string{"a"}))
			var noted []NoticeEvent
			other.OnNotice = func(n NoticeEvent) { noted = append(noted, n) }
			for range 3 {
				other.RecordLeaving([]string{"a", "unknown"})
			}
			Expect(noted).To(HaveLen(1))
			Expect(noted[0].Source).To(Equal(SourceBox))
			Expect(other.Get("a").Leaving).To(BeTrue())
			Expect(other.notices).To(HaveLen(1))
			leaving := entry("a", 2)
			leaving.Leaving = true
			d.SetList(2, []Upstream{leaving}, time.Now())
			Expect(d.LeavingByAnswer()).To(BeEmpty())
		})
	})

	It("keeps requests away for the backoff that it asks for, from the answer on", func() {
		spectest.Bubble(func() {
			d := listed(entry("a", 1))
			Expect(send(d, "a", Notice{Backoff: 3 * time.Second})).To(Succeed())
			time.Sleep(3*time.Second - time.Nanosecond)
			Expect(send(d, "a", Notice{})).To(MatchError(ErrBackoff))
			time.Sleep(time.Nanosecond)
			Expect(send(d, "a", Notice{})).To(Succeed())
		})
	})

	DescribeTable("bounds a backoff that is far too long", func(asked time.Duration) {
		spectest.Bubble(func() {
			d := listed(entry("a", 1))
			Expect(send(d, "a", Notice{Backoff: asked})).To(Succeed())
			until, _ := d.InBackoff("a")
			Expect(time.Until(until)).To(BeNumerically("<=", d.BackoffPolicy.Max))
			time.Sleep(d.BackoffPolicy.Max)
			Expect(send(d, "a", Notice{})).To(Succeed())
		})
	},
		Entry("of years", 100*365*24*time.Hour),
		Entry("of the longest duration", time.Duration(math.MaxInt64)),
	)

	It("gets few requests at a time after a backoff, twice as many with each answer, and none once it asks for another", func() {
		spectest.Bubble(func() {
			d := listed(entry("a", 1))
			Expect(send(d, "a", Notice{Backoff: time.Second})).To(Succeed())
			time.Sleep(time.Second)
			begun := func() (list []*Endpoint) {
				for {
					to, err := d.Begin(d.Get("a").Upstream)
					if err != nil || len(list) > unlimitedWindow {
						return list
					}
					list = append(list, to)
				}
			}
			end := func(list []*Endpoint, n Notice) {
				for _, to := range list {
					to.HandleNotice(n)
					to.End()
				}
			}
			for _, window := range []int{1, 2, 8} {
				list := begun()
				Expect(list).To(HaveLen(window))
				end(list, Notice{})
			}
			list := begun()
			Expect(len(list)).To(BeNumerically(">", 8))
			end(list[:1], Notice{Backoff: time.Second})
			Expect(begun()).To(BeEmpty())
			end(list[1:], Notice{}) // Answers to concurrent requests do not end the new backoff.
			time.Sleep(time.Second)
			Expect(begun()).To(HaveLen(1))
		})
	})
})
