package cluster

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("broadcasts of limits that upstreams report", func() {
	member, other, relay := target{name: "member"}, target{name: "other"}, target{name: "relay", relay: true}
	// broadcastsOf returns the broadcasts of a box that lists a number of upstreams.
	broadcastsOf := func(upstreams int) *limitBroadcasts {
		d := fleet.New()
		var list []fleet.Upstream
		for n := range upstreams {
			list = append(list, fleet.Upstream{ID: fmt.Sprint("e", n), Service: "s", Address: fmt.Sprint("e", n), Revision: 1})
		}
		d.SetList(1, list, time.Now())
		return newLimitBroadcasts(d)
	}
	setLimit := func(l *limitBroadcasts, n int, perSecond float64) {
		l.Directory.RecordNotice(fmt.Sprint("e", n), fleet.Notice{Limit: &perSecond, Source: fleet.SourceRequest})
	}

	It("are sent to each box twice, again after a failed call, and in full to a box that joins later", func() {
		spectest.Bubble(func() {
			l := broadcastsOf(2)
			setLimit(l, 1, 2)
			l.collect([]target{member})
			failed := l.take("member")
			Expect(failed).To(HaveLen(1))
			l.requeue("member", failed)
			Expect([]int{len(l.take("member")), len(l.take("member")), len(l.take("member"))}).To(Equal([]int{1, 1, 0}))
			l.collect([]target{member, other})
			Expect(l.take("other")).To(HaveLen(1))
			Expect(l.take("member")).To(BeEmpty())
		})
	})

	It("reach a box in full in few messages if many upstreams report limits at once", func() {
		spectest.Bubble(func() {
			const upstreams = 1000
			l, to := broadcastsOf(upstreams), broadcastsOf(upstreams)
			l.collect([]target{member})
			for n := range upstreams {
				setLimit(l, n, 1)
			}
			l.collect([]target{member})
			messages := 0
			for len(to.Directory.LimitedUpstreams()) < upstreams {
				taken := l.take("member")
				Expect(len(taken)).To(BeNumerically("<=", maxLimitsPerMessage))
				to.receive("n", false, taken)
				messages++
				Expect(messages).To(BeNumerically("<=", transmissions*upstreams/maxLimitsPerMessage))
			}
		})
	})

	It("are forwarded in a large fleet while they are new: from a box to all, from a relay to the boxes of the hall", func() {
		spectest.Bubble(func() {
			l := broadcastsOf(3)
			l.collect([]target{member, other, relay})
			pending := func() []bool {
				names := l.pending()
				return []bool{names["member"], names["other"], names["relay"]}
			}
			one := 1.0
			report := func(n int) []fleet.LimitReport {
				return []fleet.LimitReport{{Upstream: fmt.Sprint("e", n), PerSecond: &one}}
			}
			l.receive("member", false, report(0))
			Expect(pending()).To(Equal([]bool{false, false, false}))
			l.receive("relay", true, report(1))
			Expect(pending()).To(Equal([]bool{true, true, false}))
			l.receive("member", true, report(2))
			Expect(pending()).To(Equal([]bool{true, true, true}))
			for range 2 * transmissions {
				for _, box := range []string{"member", "other", "relay"} {
					l.take(box)
				}
			}
			l.receive("member", true, report(2))
			Expect(pending()).To(Equal([]bool{false, false, false}))
		})
	})
})
