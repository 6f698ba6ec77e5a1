package node

import (
	"flag"
	"fmt"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// noticeWays has the ways compared that docs/design/notices.md has figures of.
var noticeWays = flag.String("notice-ways", "", "compare ways to heed what upstreams tell: those whose row matches, by boxes, load and way")

// noticeLoad is what callers ask for, and what happens to engines.
type noticeLoad struct {
	name string
	play func(n *noticeFleet, perSecond float64)
}

// noticeLoadTime is how long callers ask.
const noticeLoadTime = 14 * time.Second

func waysOfNotices() []noticeWay {
	rests := func(window int, spread time.Duration) fleet.Rests {
		kept := fleet.DefaultRests
		kept.Window, kept.ReturnSpread = window, spread
		return kept
	}
	return []noticeWay{
		{name: "not read", unread: true, rests: fleet.DefaultRests},
		{name: "each box, back at once", rests: rests(0, 0)},
		{name: "each box, window 1", rests: rests(1, 0)},
		{name: "each box, window 1, callers 0.25 s", rests: rests(1, 250*time.Millisecond)},
		{name: "each box, window 1, callers 0.5 s", rests: rests(1, 500*time.Millisecond)},
		{name: "each box, window 1, callers 1 s", rests: rests(1, time.Second)},
		{name: "each box, window 4, callers 0.5 s", rests: rests(4, 500*time.Millisecond)},
		{name: "each box, back at once, callers 0.5 s", rests: rests(0, 500*time.Millisecond)},
		{name: "all boxes, window 1, callers 0.5 s", rests: rests(1, 500*time.Millisecond), restsForAll: true},
	}
}

func loadsOfNotices() []noticeLoad {
	turn := func(n *noticeFleet, every int, share float64, span time.Duration) {
		until := time.Now().Add(span)
		n.some(every, func(e *noticeEngine) { e.share, e.turningUntil = share, until })
	}
	return []noticeLoad{
		{name: "a quarter turn all away for 6 s", play: func(n *noticeFleet, perSecond float64) {
			turn(n, 4, 1, 6*time.Second)
			n.askForModel(perSecond, noticeLoadTime)
		}},
		{name: "all turn all away for 2 s", play: func(n *noticeFleet, perSecond float64) {
			turn(n, 1, 1, 2*time.Second)
			n.askForModel(perSecond, noticeLoadTime)
		}},
		{name: "a quarter turn two of five away for 12 s", play: func(n *noticeFleet, perSecond float64) {
			turn(n, 4, 0.4, 12*time.Second)
			n.askForModel(perSecond, noticeLoadTime)
		}},
		{name: "a third more than all have slots for", play: func(n *noticeFleet, perSecond float64) {
			n.engineSlots = max(1, int(perSecond*1.2/float64(len(n.engines))/1.33))
			n.askForModel(perSecond, noticeLoadTime)
		}},
		{name: "the same with rests of 0.2 s", play: func(n *noticeFleet, perSecond float64) {
			n.rest = 200 * time.Millisecond
			n.engineSlots = max(1, int(perSecond*1.2/float64(len(n.engines))/1.33))
			n.askForModel(perSecond, noticeLoadTime)
		}},
	}
}

var _ = Describe("ways to heed what upstreams tell", func() {
	It("are compared by what is sent against it and what is not served", func() {
		if *noticeWays == "" {
			Skip("by hand: -notice-ways=. for all")
		}
		chosen := regexp.MustCompile(*noticeWays)
		for _, size := range waySizes {
			for _, load := range loadsOfNotices() {
				for _, way := range waysOfNotices() {
					if chosen.MatchString(fmt.Sprintf("%d, %s, %s", size.boxes, load.name, way.name)) {
						compareNoticeWay(size, load, way)
					}
				}
			}
		}
	})
})

// compareNoticeWay plays one load with one way and prints a row of the table.
func compareNoticeWay(size smallFleetSize, load noticeLoad, way noticeWay) {
	withNoticeFleet(size, way, func(n *noticeFleet) {
		load.play(n, 12*float64(size.upstreams))
		n.callers.Wait()
		asked := 0
		for _, count := range n.outcomes {
			asked += count
		}
		fmt.Printf("| %d | %s | %s | %d | %d | %d | %d | %d | %d of %d |\n", size.boxes, load.name, way.name, n.late, n.turnedAway, n.longest,
			n.outcomes[served], n.outcomes[served+" at its return"], n.outcomes[refused+" at its return"]+n.outcomes[broken], asked)
	})
}
