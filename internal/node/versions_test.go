package node

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/gateway"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/origins"
)

// versionWays selects the ways to compare. docs/incidents/software-versions.md has their results.
var versionWays = flag.String("version-ways", "", "compare ways to know the version that began a stream: those whose row matches, by boxes, event and way")

// versionWay is a way to know the version that began a stream.
type versionWay struct {
	name string
	// tune changes a box's configuration, and tuneNode the box before it runs; nil changes nothing.
	tune     func(*Config)
	tuneNode func(*Node)
}

var (
	// anyVersion neither records nor heeds the version for callers that take a stream up.
	anyVersion = versionWay{name: "any version", tuneNode: func(n *Node) { n.Gateway.Origins = gateway.Origins{} }}
	// ownRecords has each box know the streams that began there.
	ownRecords = versionWay{name: "own records", tuneNode: func(n *Node) {
		kept := origins.NewRegister()
		n.Gateway.Origins = gateway.Origins{Record: kept.Add, Find: func(_ context.Context, question origins.Question, _ bool) origins.Found {
			found, age := kept.Find(question.Stream)
			return origins.Found{Origins: found, Age: age}
		}}
	}}
	// keptOnly has keepers, and nothing in the store.
	keptOnly = versionWay{name: "keepers", tune: func(config *Config) {
		swap := config.Platform.Store.Swap
		config.Platform.Store.Swap = func(ctx context.Context, change kv.Swap) (kv.Record, error) {
			if strings.HasPrefix(change.Key, "own/origins/") {
				return kv.Record{}, kv.ErrUnavailable
			}
			return swap(ctx, change)
		}
	}}
	keptAndSaved = versionWay{name: "keepers and the store"}
)

var versionSizes = []smallFleetSize{
	{boxes: 8, halls: 4, upstreams: 18}, {boxes: 86, halls: 4, upstreams: 144}, {boxes: 300, halls: 7, upstreams: 400}, {boxes: 1000, halls: 7, upstreams: 1000},
}

// playVersionWay has callers ask for streams for ten seconds while something happens to the fleet.
func playVersionWay(size smallFleetSize, way versionWay, cutShare float64, happen func(v *versionFleet, random *rand.Rand)) (tally streamTally) {
	if raceDetector && size.boxes > raceSize.boxes {
		size = raceSize
	}
	withVersionFleet(size, way, twoVersions, func(v *versionFleet) {
		v.callFor(10*time.Second, max(40, 3*size.boxes), cutShare)
		happen(v, rand.New(rand.NewPCG(5, 6)))
		v.callers.Wait()
		tally = v.tally
	})
	GinkgoWriter.Printf("%+v\n", tally)
	return tally
}

// killBoxes kills some boxes each second, which start again 0.9 s later.
func killBoxes(v *versionFleet, random *rand.Rand) {
	for range 9 {
		time.Sleep(time.Second)
		for range max(1, v.boxes/30) {
			v.kill(v.randomBox(random), 900*time.Millisecond)
		}
	}
}

// cutPower kills all boxes at once, which start again a second later.
func cutPower(v *versionFleet, _ *rand.Rand) {
	time.Sleep(5 * time.Second)
	for box := range v.boxes {
		v.kill(box, time.Second)
	}
}

// twoVersions lists upstreams of two software versions in turn.
func twoVersions(upstream int) string { return []string{"v1", "v1.1"}[upstream%2] }

// These specs guard against streams that go on at another software version than the one that began them. On a recorded
// day engines of v1, v1.1 and v1.2 served side by side, and 69 streams that callers took up again after all 7 boxes had
// lost power went on wherever there was room: what two versions write does not fit together.
var _ = Describe("streams that are taken up again where upstreams of two software versions serve", func() {
	playVersions := func(size smallFleetSize, cutShare float64, happen func(v *versionFleet, random *rand.Rand)) {
		tally := playVersionWay(size, keptAndSaved, cutShare, happen)
		Expect(tally.Joined).To(BeZero(), "%+v", tally)
		Expect(tally.keepsLost()).To(BeTrue(), "%+v", tally)
		Expect(tally.Broken).To(BeNumerically(">=", 12))
	}
	seven := smallFleetSize{boxes: 7, halls: 4, upstreams: 18}

	DescribeTable("go on at the version that began them after their box was killed", func(size smallFleetSize) {
		playVersions(size, 0, killBoxes)
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
		playVersions(size, 0, cutPower)
	},
		Entry("of 7", seven),
		Entry("of 86", smallFleetSize{boxes: 86, halls: 4, upstreams: 144}),
	)

	It("compares ways to know the version that began a stream", func() {
		if *versionWays == "" {
			Skip("needs -version-ways")
		}
		rows := regexp.MustCompile(*versionWays)
		happenings := []struct {
			name   string
			happen func(v *versionFleet, random *rand.Rand)
		}{{"boxes killed", killBoxes}, {"all lose power", cutPower}}
		for _, size := range versionSizes {
			for _, happening := range happenings {
				for _, way := range []versionWay{anyVersion, ownRecords, keptOnly, keptAndSaved} {
					row := fmt.Sprintf("%d, %s, %s", size.boxes, happening.name, way.name)
					if !rows.MatchString(row) {
						continue
					}
					tally := playVersionWay(size, way, 0, happening.happen)
					fmt.Printf("%s: %+v\n", row, tally)
				}
			}
		}
	})
})
