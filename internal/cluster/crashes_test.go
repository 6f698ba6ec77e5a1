package cluster

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("news of requests under which upstreams crashed", func() {
	named := func(n int) quarantine.Fingerprint {
		content := quarantine.Content{URI: fmt.Sprint(n)}
		return content.Fingerprint()
	}
	member, relay := target{name: "member"}, target{name: "relay", relay: true}
	news := func() *crashNews { return newCrashNews(quarantine.NewRegister(quarantine.DefaultPolicy)) }
	// told is how many requests a box is told of now.
	told := func(c *crashNews, name string) int {
		if update := c.take(name); update != nil {
			return len(update.Requests())
		}
		return 0
	}

	It("is told to each box twice, and again where a call failed", func() {
		spectest.Bubble(func() {
			c := news()
			c.Known.NoteCrash(named(1), "e1", time.Now())
			c.collect([]target{member})
			Expect(told(c, "member")).To(Equal(1))
			failed := c.take("member")
			Expect(c.take("member")).To(BeNil())
			c.putBack("member", failed)
			Expect([]int{told(c, "member"), told(c, "member"), told(c, "member")}).To(Equal([]int{1, 1, 0}))
			Expect(c.take("stranger")).To(BeNil())
		})
	})

	It("is told whole to a box that comes later", func() {
		spectest.Bubble(func() {
			c := news()
			c.Known.NoteCrash(named(1), "e1", time.Now())
			c.collect([]target{member})
			c.collect([]target{member, relay})
			Expect(told(c, "relay")).To(Equal(1))
			c.collect(nil)
			c.collect([]target{relay})
			Expect(told(c, "relay")).To(Equal(1))
		})
	})

	It("is told in parts where there is much of it", func() {
		spectest.Bubble(func() {
			c := news()
			for n := range 2500 {
				c.Known.NoteCrash(named(n), "e1", time.Now())
			}
			c.collect([]target{member})
			Expect([]int{told(c, "member"), told(c, "member")}).To(Equal([]int{maxToldCrashes, maxToldCrashes}))
		})
	})

	It("is passed on in a large fleet while it is news: to all from a box, from a relay to the boxes of the hall", func() {
		spectest.Bubble(func() {
			c, other := news(), target{name: "other"}
			c.collect([]target{member, other, relay})
			update := func(n int) *quarantine.Update {
				return &quarantine.Update{Crashes: []quarantine.CrashReport{{Upstream: "e1", Requests: []quarantine.Fingerprint{named(n)}}}}
			}
			waits := func() []bool {
				names := c.waiting()
				return []bool{names["member"], names["other"], names["relay"]}
			}
			c.receive("member", false, update(1))
			Expect(waits()).To(Equal([]bool{false, false, false}))
			c.receive("relay", true, update(2))
			Expect(waits()).To(Equal([]bool{true, true, false}))
			c.receive("member", true, update(3))
			Expect(waits()).To(Equal([]bool{true, true, true}))
			Expect(c.urgent).To(Receive())
			for range 2 * newsTellings {
				c.take("member")
				c.take("other")
				c.take("relay")
			}
			c.receive("other", true, update(3))
			Expect(waits()).To(Equal([]bool{false, false, false}))
			Expect(c.urgent).NotTo(Receive())
		})
	})
})
