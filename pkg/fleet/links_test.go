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
})
