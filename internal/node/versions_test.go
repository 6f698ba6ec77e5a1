package node

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// twoVersions lists upstreams of two software versions in turn.
func twoVersions(upstream int) string { return []string{"v1", "v1.1"}[upstream%2] }

// These specs guard against streams that go on at another software version than the one that began them. On a recorded
// day engines of v1, v1.1 and v1.2 served side by side, and 69 streams that callers took up again after all 7 boxes had
// lost power went on wherever there was room: what two versions write does not fit together.
var _ = Describe("streams that are taken up again where upstreams of two software versions serve", func() {
	// playVersions has callers ask for streams for ten seconds while something happens to the fleet.
	playVersions := func(size smallFleetSize, cutShare float64, happen func(v *versionFleet, random *rand.Rand)) {
		if raceDetector && size.boxes > raceSize.boxes {
			size = raceSize
		}
		withVersionFleet(size, twoVersions, func(v *versionFleet) {
			v.callFor(10*time.Second, max(40, 3*size.boxes), cutShare)
			happen(v, rand.New(rand.NewPCG(5, 6)))
			v.callers.Wait()
			GinkgoWriter.Printf("%+v\n", v.tally)
			Expect(v.tally.Joined).To(BeZero(), "%+v", v.tally)
			Expect(v.tally.keepsLost()).To(BeTrue(), "%+v", v.tally)
			Expect(v.tally.Broken).To(BeNumerically(">=", 12))
		})
	}
	seven := smallFleetSize{boxes: 7, halls: 4, upstreams: 18}

	DescribeTable("go on at the version that began them after their box was killed", func(size smallFleetSize) {
		playVersions(size, 0, func(v *versionFleet, random *rand.Rand) {
			for range 9 {
				time.Sleep(time.Second)
				for range max(1, size.boxes/30) {
					v.kill(v.randomBox(random), 900*time.Millisecond)
				}
			}
		})
	},
		Entry("of 7", seven),
		Entry("of 86", smallFleetSize{boxes: 86, halls: 4, upstreams: 144}),
	)

	It("go on at the version that began them after their callers lost the connection", func() {
		playVersions(seven, 0.3, func(*versionFleet, *rand.Rand) {})
	})

	It("go on at the version that began them after their engine crashed", func() {
		playVersions(seven, 0.05, func(v *versionFleet, random *rand.Rand) {
			for range 8 {
				time.Sleep(time.Second)
				v.crash(upstreamName(random.IntN(18)), "")
			}
		})
	})

	DescribeTable("go on at the version that began them after all boxes lost power at once", func(size smallFleetSize) {
		playVersions(size, 0, func(v *versionFleet, _ *rand.Rand) {
			time.Sleep(5 * time.Second)
			for box := range v.boxes {
				v.kill(box, time.Second)
			}
		})
	},
		Entry("of 7", seven),
		Entry("of 86", smallFleetSize{boxes: 86, halls: 4, upstreams: 144}),
	)
})
