package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("a box's own links to upstreams", func() {
	It("are suspected once several upstreams in a row failed, not if one fails or another one answers between", func() {
		spectest.Bubble(func() {
			var links fleet.Links
			suspicions := 0
			links.OnSuspected = func(int, time.Duration) { suspicions++ }
			links.RecordContact()
			for range 10 {
				links.RecordFailure("a")
				time.Sleep(100 * time.Millisecond)
			}
			Expect(links.Suspected()).To(BeFalse())
			links.RecordContact()
			links.RecordFailure("b")
			Expect(links.Suspected()).To(BeFalse())
			time.Sleep(4 * time.Second)
			links.RecordFailure("a")
			Expect(links.Suspected()).To(BeFalse(), "the failure of b is too old")
			links.RecordFailure("c")
			links.RecordFailure("d")
			Expect(links.Suspected()).To(BeTrue())
			Expect(links.Silence()).To(Equal(4 * time.Second))
			links.RecordContact()
			Expect(links.Suspected()).To(BeFalse())
			Expect(suspicions).To(Equal(1))
		})
	})

	It("are lost only if another box connects to an upstream while none answers this one", func() {
		spectest.Bubble(func() {
			var links fleet.Links
			lost := 0
			links.OnLost = func(time.Duration) { lost++ }
			links.RecordCarried()
			links.RecordFailure("a")
			links.RecordFailure("b")
			Expect(links.Lost()).To(BeFalse(), "all upstreams may be down")
			links.RecordCarried()
			Expect(links.Lost()).To(BeTrue())
			links.RecordFailure("c")
			links.RecordCarried()
			Expect(lost).To(Equal(1))
		})
	})

	It("count as regained after several probes in a row, not by a connection that lives on", func() {
		spectest.Bubble(func() {
			var links fleet.Links
			var regainedAfter time.Duration
			links.OnRegained = func(after time.Duration) { regainedAfter = after }
			links.RecordFailure("a")
			links.RecordCarried()
			links.RecordFailure("b")
			Expect(links.Lost()).To(BeTrue())
			links.RecordContact()
			Expect(links.Lost()).To(BeTrue())
			for _, reached := range []bool{true, false, true} {
				time.Sleep(time.Second)
				links.RecordProbe(reached)
				Expect(links.Lost()).To(BeTrue())
			}
			time.Sleep(time.Second)
			links.RecordProbe(true)
			Expect(links.Lost()).To(BeFalse())
			Expect(links.Suspected()).To(BeFalse())
			Expect(regainedAfter).To(Equal(4 * time.Second))
		})
	})

	It("do not try tunnels again at once after other boxes did not reach an upstream either", func() {
		spectest.Bubble(func() {
			var links fleet.Links
			Expect(links.MayTunnel()).To(BeTrue())
			links.RecordNotCarried()
			Expect(links.MayTunnel()).To(BeFalse())
			time.Sleep(500 * time.Millisecond)
			Expect(links.MayTunnel()).To(BeTrue())
			links.RecordNotCarried()
			links.RecordCarried()
			Expect(links.MayTunnel()).To(BeTrue())
		})
	})
})
