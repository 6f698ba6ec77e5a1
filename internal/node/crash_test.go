package node

import (
	"flag"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// crashBoxes is the size of the largest fleet that the specs of crashes run with, in boxes; 515 take a minute.
var crashBoxes = flag.Int("crash-boxes", 60, "how many boxes the specs of crashes run with at most")

// These specs guard against a request that crashes one engine after the other. A caller sent it again every two
// seconds under a new id, each time to another of 7 boxes. Each engine crashed 0.04 to 0.2 s after it began to run
// the request. No box knew of earlier attempts, so each took it for a new request and sent it to a second engine
// when the first had crashed. Within 11 s, 19 engines crashed with 182 other requests running, and half of the
// requests of those seconds were not served.
var _ = Describe("a request under which upstreams crash", func() {
	sizes := func(size smallFleetSize, f func(*crashFleet)) {
		if size.boxes > *crashBoxes {
			Skip("more boxes than -crash-boxes")
		}
		if raceDetector && size.boxes > raceSize.boxes {
			size.boxes, size.halls = raceSize.boxes, raceSize.halls
		}
		withCrashFleet(size, func(*crashFleet) {}, f)
	}

	DescribeTable("is sent to no upstream soon after the third crash, in a fleet", func(size smallFleetSize, harmlessPerSecond int) {
		sizes(size, func(c *crashFleet) {
			const times, every = 20, 2 * time.Second
			c.sendHarmless(harmlessPerSecond, times*every, c.randomBox)
			c.sendRepeatedly(crashingPrefix, times, every, c.randomBox)
			c.callers.Wait()
			GinkgoWriter.Printf("%d crashes, others ended: %v\n", c.crashCount(), c.outcomes)
			Expect(c.crashCount()).To(BeNumerically(">=", 3))
			Expect(c.sentTooLate()).To(BeZero())
			Expect(c.crashCount()).To(BeNumerically("<=", 4))
			Expect(c.outcomes[refused+" at its return"]).To(BeZero(), "harmless requests that are refused twice")
			// A harmless request may be held only if it was running at PauseAfter crashes, like the one that caused them.
			for _, crashes := range c.crashesOfHeld {
				Expect(crashes).To(BeNumerically(">=", quarantine.DefaultPolicy.PauseAfter), "crashes during a harmless request that is held")
			}
		})
	},
		Entry("of 7", smallFleetSize{boxes: 7, halls: 4, upstreams: 18}, 90),
		Entry("of 60", smallFleetSize{boxes: 60, halls: 4, upstreams: 90}, 300),
		Entry("of 515", smallFleetSize{boxes: 515, halls: 7, upstreams: 600}, 600),
	)

	seven := smallFleetSize{boxes: 7, halls: 4, upstreams: 18}

	It("is told apart from one that many callers send while a third of the upstreams crash together", func() {
		withCrashFleet(seven, func(*crashFleet) {}, func(c *crashFleet) {
			const span = 12 * time.Second
			for range 10 {
				c.callers.Go(func() {
					c.sendRepeatedly("the same", int(span/(20*time.Millisecond)), 20*time.Millisecond, c.randomBox)
				})
			}
			for range 3 {
				time.Sleep(span / 4)
				c.crashTogether(3)
			}
			c.callers.Wait()
			Expect(c.outcomes[held]).To(BeZero())
		})
	})

	It("is still held after all boxes have restarted", func() {
		sizes(seven, func(c *crashFleet) {
			c.sendRepeatedly(crashingPrefix, 5, 2*time.Second, c.randomBox)
			crashes := c.crashCount()
			c.restartAll()
			time.Sleep(propagationTime)
			c.sendRepeatedly(crashingPrefix, 5, 2*time.Second, c.randomBox)
			Expect(c.crashCount()).To(Equal(crashes))
		})
	})

	It("is held in a hall soon after a network partition that hid the crashes from it", func() {
		sizes(seven, func(c *crashFleet) {
			c.setPartition("z3", true)
			time.Sleep(propagationTime)
			c.sendRepeatedly(crashingPrefix, 5, 2*time.Second, c.randomBoxIn("z3", false))
			crashes := c.crashCount()
			c.setPartition("z3", false)
			time.Sleep(propagationTime)
			c.sendRepeatedly(crashingPrefix, 5, 2*time.Second, c.randomBoxIn("z3", true))
			Expect(c.crashCount()).To(Equal(crashes))
		})
	})
})
