package cluster

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("news of limits that upstreams name", func() {
	member, other, relay := target{name: "member"}, target{name: "other"}, target{name: "relay", relay: true}
	// knowing returns the news of a box that lists some upstreams.
	knowing := func(upstreams int) *limitNews {
		d := fleet.New()
		var list []fleet.Upstream
		for n := range upstreams {
			list = append(list, fleet.Upstream{ID: fmt.Sprint("e", n), Service: "s", Address: fmt.Sprint("e", n), Revision: 1})
		}
		d.SetList(1, list, time.Now())
		return newLimitNews(d)
	}
	name := func(l *limitNews, n int, perSecond float64) {
		l.Directory.Note(fmt.Sprint("e", n), fleet.Notice{Limit: &perSecond, Source: fleet.SourceRequest})
	}

	It("is told to each box twice, again where a call failed, and whole to a box that comes later", func() {
		spectest.Bubble(func() {
			l := knowing(2)
			name(l, 1, 2)
			l.collect([]target{member})
			failed := l.take("member")
			Expect(failed).To(HaveLen(1))
			l.putBack("member", failed)
			Expect([]int{len(l.take("member")), len(l.take("member")), len(l.take("member"))}).To(Equal([]int{1, 1, 0}))
			l.collect([]target{member, other})
			Expect(l.take("other")).To(HaveLen(1))
			Expect(l.take("member")).To(BeEmpty())
		})
	})

	It("reaches a box whole in few messages where many upstreams name limits at once", func() {
		spectest.Bubble(func() {
			const upstreams = 1000
			l, to := knowing(upstreams), knowing(upstreams)
			l.collect([]target{member})
			for n := range upstreams {
				name(l, n, 1)
			}
			l.collect([]target{member})
			messages := 0
			for len(to.Directory.LimitedUpstreams()) < upstreams {
				told := l.take("member")
				Expect(len(told)).To(BeNumerically("<=", maxToldLimits))
				to.receive("n", false, told)
				messages++
				Expect(messages).To(BeNumerically("<=", newsTellings*upstreams/maxToldLimits))
			}
		})
	})

	It("is passed on in a large fleet while it is news: to all from a box, from a relay to the boxes of the hall", func() {
		spectest.Bubble(func() {
			l := knowing(3)
			l.collect([]target{member, other, relay})
			waits := func() []bool {
				names := l.waiting()
				return []bool{names["member"], names["other"], names["relay"]}
			}
			one := 1.0
			report := func(n int) []fleet.LimitReport {
				return []fleet.LimitReport{{Upstream: fmt.Sprint("e", n), PerSecond: &one}}
			}
			l.receive("member", false, report(0))
			Expect(waits()).To(Equal([]bool{false, false, false}))
			l.receive("relay", true, report(1))
			Expect(waits()).To(Equal([]bool{true, true, false}))
			l.receive("member", true, report(2))
			Expect(waits()).To(Equal([]bool{true, true, true}))
			for range 2 * newsTellings {
				for _, box := range []string{"member", "other", "relay"} {
					l.take(box)
				}
			}
			l.receive("member", true, report(2))
			Expect(waits()).To(Equal([]bool{false, false, false}))
		})
	})
})
