package node

import (
	"flag"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// largeChangeBoxes is the size of the largest fleet that the specs of large changes run with, in boxes; the largest
// fleets take minutes.
var largeChangeBoxes = flag.Int("large-change-boxes", 86, "how many boxes the specs of large changes run with at most")

var _ = Describe("a large change", func() {
	DescribeTable("is in force in time on small boxes and does not delay the change of an upstream that leaves",
		func(size smallFleetSize, routes int, leaving, inForce time.Duration) {
			if size.boxes > *largeChangeBoxes {
				Skip("more boxes than -large-change-boxes")
			}
			withSmallBoxes(size, func(s *smallBoxes) {
				begun := time.Now()
				next := 0
				leave := func() {
					id := upstreamName(next)
					s.change(id+" leaves", "servers/"+id, id+" leaves")
					next++
				}
				for version := int64(2); time.Since(begun) < 12*time.Second; version++ {
					s.change(fmt.Sprint("version ", version), "config", configText(version, routes*int(min(version-1, 3))))
					for range 6 {
						time.Sleep(500 * time.Millisecond)
						leave()
					}
				}
				time.Sleep(10 * time.Second)
				GinkgoWriter.Printf("leaving %s, in force %s\n", s.longestDelay("leaves"), s.longestDelay("version"))
				Expect(s.longestDelay("leaves")).To(BeNumerically("<=", leaving), "until an upstream that leaves is known to all")
				Expect(s.longestDelay("version")).To(BeNumerically("<=", inForce), "until a configuration is in force on all")
			})
		},
		// The required bound at the present size is 3 s after the store took a change.
		Entry("with 50 to 150 routes at 86 boxes", smallFleetSize{boxes: 86, halls: 4, upstreams: 64}, 50, 3*time.Second, 3*time.Second),
		Entry("with 1200 to 3600 routes at 86 boxes", smallFleetSize{boxes: 86, halls: 4, upstreams: 64}, 1200, 3*time.Second, 3*time.Second),
		// The size designed for: a configuration is in force everywhere within 7 s.
		Entry("with 1200 to 3600 routes at 380 boxes", smallFleetSize{boxes: 380, halls: 7, upstreams: 600}, 1200, 3*time.Second, 7*time.Second),
	)

	It("reaches a box soon after its link was very slow for a while", func() {
		withSmallBoxes(smallFleetSize{boxes: 42, halls: 2, upstreams: 64}, func(s *smallBoxes) {
			const slow = 2
			link := s.links[smallBoxAddress(slow)]
			link.SetRate(smallLink / 100)
			for version := int64(2); version < 6; version++ {
				s.put("config", configText(version, 2800))
				time.Sleep(2 * time.Second)
			}
			link.SetRate(smallLink)
			recovered := time.Now()
			s.changeAsOf(recovered, "version 6", "config", configText(6, 2800))
			s.changeAsOf(recovered, "e007 leaves", "servers/e007", "e007 leaves")
			time.Sleep(10 * time.Second)
			GinkgoWriter.Printf("after the slow link: leaving %s, in force %s\n", s.longestDelay("leaves"), s.longestDelay("version"))
			// The required bounds: a box must be in contact 4 s after its link has recovered, and up to date 3 s later.
			Expect(s.longestDelay("leaves")).To(BeNumerically("<=", 7*time.Second))
			Expect(s.longestDelay("version")).To(BeNumerically("<=", 7*time.Second))
		})
	})

	It("that was written while the store answered no box is in force soon after the store answers again", func() {
		withSmallBoxes(smallFleetSize{boxes: 42, halls: 2, upstreams: 64}, func(s *smallBoxes) {
			for version := int64(2); version < 5; version++ {
				away := time.Duration(3+version) * time.Second
				back := time.Now().Add(away)
				s.storeDown.Store(true)
				time.Sleep(away / 2)
				id := upstreamName(int(version))
				s.changeAsOf(back, id+" leaves", "servers/"+id, id+" leaves")
				s.changeAsOf(back, fmt.Sprint("version ", version), "config", configText(version, 1400))
				time.Sleep(time.Until(back))
				s.storeDown.Store(false)
				time.Sleep(8 * time.Second)
			}
			GinkgoWriter.Printf("after the store's return: leaving %s, in force %s\n", s.longestDelay("leaves"), s.longestDelay("version"))
			// The required bound at the present size: boxes with no fault of their own must be up to date again 3 s after
			// the store is back.
			Expect(s.longestDelay("leaves")).To(BeNumerically("<=", 3*time.Second))
			Expect(s.longestDelay("version")).To(BeNumerically("<=", 3*time.Second))
		})
	})
})
