package cluster

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("broadcasts of requests under which upstreams crashed", func() {
	fingerprintOf := func(n int) quarantine.Fingerprint {
		content := quarantine.Content{URI: fmt.Sprint(n)}
		return content.Fingerprint()
	}
	member, relay := target{name: "member"}, target{name: "relay", relay: true}
	// newBroadcasts returns broadcasts of a new register, and the reports that they trigger at once.
	newBroadcasts := func() (*crashBroadcasts, *quarantine.Register, urgentReports) {
		register, urgent := quarantine.NewRegister(quarantine.DefaultPolicy), newUrgentReports()
		register.OnChanged = urgent.signal
		return newCrashBroadcasts(register, urgent.signal), register, urgent
	}
	// taken returns how many requests are taken for a message to a box.
	taken := func(c *crashBroadcasts, name string) int {
		if update := c.take(name); update != nil {
			return len(update.Requests())
		}
		return 0
	}

	It("are sent to each box twice, and again after a failed call", func() {
		spectest.Bubble(func() {
			c, register, _ := newBroadcasts()
			register.NoteCrash(fingerprintOf(1), "e1", time.Now())
			c.collect([]target{member})
			Expect(taken(c, "member")).To(Equal(1))
			failed := c.take("member")
			Expect(c.take("member")).To(BeNil())
			c.requeue("member", failed)
			Expect([]int{taken(c, "member"), taken(c, "member"), taken(c, "member")}).To(Equal([]int{1, 1, 0}))
			Expect(c.take("stranger")).To(BeNil())
		})
	})

	It("are sent in full to a box that joins later", func() {
		spectest.Bubble(func() {
			c, register, _ := newBroadcasts()
			register.NoteCrash(fingerprintOf(1), "e1", time.Now())
			c.collect([]target{member})
			c.collect([]target{member, relay})
			Expect(taken(c, "relay")).To(Equal(1))
			c.collect(nil)
			c.collect([]target{relay})
			Expect(taken(c, "relay")).To(Equal(1))
		})
	})

	It("are split over several messages if there are many", func() {
		spectest.Bubble(func() {
			c, register, _ := newBroadcasts()
			for n := range 2500 {
				register.NoteCrash(fingerprintOf(n), "e1", time.Now())
			}
			c.collect([]target{member})
			Expect([]int{taken(c, "member"), taken(c, "member")}).To(Equal([]int{maxCrashesPerMessage, maxCrashesPerMessage}))
		})
	})

	It("are forwarded in a large fleet while they are new: from a box to all, from a relay to the boxes of the hall", func() {
		spectest.Bubble(func() {
			c, _, urgent := newBroadcasts()
			other := target{name: "other"}
			c.collect([]target{member, other, relay})
			update := func(n int) *quarantine.Update {
				return &quarantine.Update{Crashes: []quarantine.CrashReport{{Upstream: "e1", Requests: []quarantine.Fingerprint{fingerprintOf(n)}}}}
			}
			pending := func() []bool {
				names := c.pending()
				return []bool{names["member"], names["other"], names["relay"]}
			}
			c.receive("member", false, update(1))
			Expect(pending()).To(Equal([]bool{false, false, false}))
			c.receive("relay", true, update(2))
			Expect(pending()).To(Equal([]bool{true, true, false}))
			c.receive("member", true, update(3))
			Expect(pending()).To(Equal([]bool{true, true, true}))
			Expect(urgent.due).To(Receive())
			for range 2 * transmissions {
				c.take("member")
				c.take("other")
				c.take("relay")
			}
			c.receive("other", true, update(3))
			Expect(pending()).To(Equal([]bool{false, false, false}))
			Expect(urgent.due).NotTo(Receive())
		})
	})
})
