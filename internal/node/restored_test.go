package node

import (
	"flag"
	"fmt"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// By hand: go test -v ./internal/node -timeout 0 -args -ginkgo.v -ginkgo.focus='came back from a copy' -restored-boxes='^300$' -restored-ways
var (
	restoredBoxes = flag.String("restored-boxes", "^(7|39)$", "a regular expression of the numbers of boxes with which a restored store is played")
	restoredWays  = flag.Bool("restored-ways", false, "play the way that was not kept, too")
)

// restoredBounds are fleets with the platform's bounds, for deployments of their size, on the time until a change is in
// force on all boxes.
var restoredBounds = map[smallFleetSize]time.Duration{
	{7, 4, 18}:    2 * time.Second,
	{39, 3, 64}:   3 * time.Second,
	{86, 4, 64}:   3 * time.Second,
	{300, 7, 240}: 4 * time.Second,
}

// restoredFleet is what a fleet did after the store came back from a copy.
type restoredFleet struct {
	// lastBox is the time until the last box had a copy of the new epoch, and changed until it knew what was written right
	// after the return.
	lastBox, changed time.Duration
	// snapshots, calls and bytes are the store's in the first two seconds.
	snapshots, calls, bytes int64
}

// playRestoredStore makes the store of a fleet lose some seconds of changes, be away for a while, and change right after
// it came back. snapshotWork is the processor time that the store takes for a snapshot.
func playRestoredStore(size smallFleetSize, away, snapshotWork time.Duration, prepare func(*Node)) restoredFleet {
	var played restoredFleet
	withPreparedBoxes(size, prepare, func(s *smallBoxes) {
		s.snapshotWork.Store(int64(snapshotWork))
		checkpoint := s.service.Checkpoint()
		for n := range 40 {
			s.put("servers/"+upstreamName(n%s.size.upstreams), upstreamName(n%s.size.upstreams))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		s.storeDown.Store(away > 0)
		time.Sleep(away)
		s.service.Restore(checkpoint)
		snapshots, calls, bytes := s.calls.snapshots.Load(), s.calls.total(), s.storeBytes.Load()
		s.storeDown.Store(false)
		returned := time.Now()
		s.change("version 7", "config", configText(7, 50))
		s.change(upstreamName(1)+" leaves", "servers/"+upstreamName(1), upstreamName(1)+" leaves")
		for time.Since(returned) < 8*time.Second {
			time.Sleep(20 * time.Millisecond)
			behind := false
			for _, node := range s.nodes {
				behind = behind || kv.EpochOf(node.state().Revision) == 0
			}
			if behind {
				played.lastBox = time.Since(returned)
			}
			if played.calls == 0 && time.Since(returned) >= 2*time.Second {
				played.snapshots, played.calls, played.bytes = s.calls.snapshots.Load()-snapshots, s.calls.total()-calls, s.storeBytes.Load()-bytes
			}
		}
		played.changed = s.longestDelay("")
	})
	return played
}

var _ = Describe("a fleet whose store came back from a copy", func() {
	for size, bound := range restoredBounds {
		It(fmt.Sprint("knows what is written right after it, at ", size.boxes, " boxes, whoever reads the store"), func() {
			if !regexp.MustCompile(*restoredBoxes).MatchString(fmt.Sprint(size.boxes)) {
				Skip("not in -restored-boxes")
			}
			if raceDetector {
				Skip("it is played without the race detector, whose runtime fails the more often the more fleets run")
			}
			ways := map[string]func(*Node){"each box reads a store of this size": nil}
			if *restoredWays {
				ways["all but the watchers wait"] = func(n *Node) { n.view.Mirror().MayAwaitRestored = func() bool { return true } }
			}
			for way, prepare := range ways {
				for _, away := range []time.Duration{0, 1500 * time.Millisecond} {
					played := playRestoredStore(size, away, 0, prepare)
					GinkgoWriter.Printf("%d boxes, away for %v, %s: last box %v, changes known %v; in 2 s %d snapshots, %d calls, %d KB\n",
						size.boxes, away, way, played.lastBox, played.changed, played.snapshots, played.calls, played.bytes>>10)
					if prepare == nil {
						Expect(played.changed).To(BeNumerically("<", bound))
					}
				}
			}
		})
	}

	// All boxes read the store at once when it came back. A busy store then answered none of them before they gave up
	// and asked again, and until then each refused the copies of other boxes.
	It("knows what is written right after it, although the store makes few snapshots a second", func() {
		for _, work := range []time.Duration{busySnapshotWork, 4 * busySnapshotWork} {
			for _, away := range []time.Duration{0, 1500 * time.Millisecond} {
				played := playRestoredStore(raceSize, away, work, nil)
				GinkgoWriter.Printf("%v a snapshot, away for %v: last box %v, changes known %v; in 2 s %d snapshots, %d calls, %d KB\n",
					work, away, played.lastBox, played.changed, played.snapshots, played.calls, played.bytes>>10)
				Expect(played.changed).To(BeNumerically("<", busyBound))
			}
		}
	})
})

var _ = Describe("a fleet whose store was away", func() {
	// Each box whose watch had ended read the whole store, which was busy with these reads and ended more watches.
	It("goes on from its copies, and knows what is written right after it although the store makes few snapshots a second", func() {
		withSmallBoxes(raceSize, func(s *smallBoxes) {
			s.snapshotWork.Store(int64(busySnapshotWork))
			s.storeDown.Store(true)
			time.Sleep(4 * time.Second)
			snapshots := s.calls.snapshots.Load()
			s.storeDown.Store(false)
			s.change("version 7", "config", configText(7, 50))
			s.change(upstreamName(1)+" leaves", "servers/"+upstreamName(1), upstreamName(1)+" leaves")
			time.Sleep(8 * time.Second)
			GinkgoWriter.Printf("changes known after %v, %d snapshots\n", s.longestDelay(""), s.calls.snapshots.Load()-snapshots)
			Expect(s.longestDelay("")).To(BeNumerically("<", busyBound))
			Expect(s.calls.snapshots.Load()).To(Equal(snapshots))
		})
	})
})

const (
	// busySnapshotWork is what a snapshot takes of a busy store's processor time, alone. Of 18 at once, each takes longer
	// than a box waits.
	busySnapshotWork = 150 * time.Millisecond
	// busyBound is the platform's bound on the time until a change is in force, for a fleet that has relays.
	busyBound = 3 * time.Second
)
