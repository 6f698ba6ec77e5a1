package node

import (
	"flag"
	"fmt"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// noticeWays selects the variants to compare. docs/design/notices.md has their results.
var noticeWays = flag.String("notice-ways", "", "compare ways to heed what upstreams tell: those whose row matches, by boxes, load and way")

// noticeLoad is what callers send, and what happens to engines.
type noticeLoad struct {
	name string
	play func(n *noticeFleet, perSecond float64)
}

// noticeLoadTime is how long callers send requests.
const noticeLoadTime = 14 * time.Second

func noticeVariants() []noticeVariant {
	rules := func(window int, spread time.Duration) fleet.BackoffPolicy {
		policy := fleet.DefaultBackoffPolicy
		policy.Window, policy.RetryJitter = window, spread
		return policy
	}
	return []noticeVariant{
		{name: "not read", ignoreNotices: true, backoffRules: fleet.DefaultBackoffPolicy},
		{name: "each box, back at once", backoffRules: rules(0, 0)},
		{name: "each box, window 1", backoffRules: rules(1, 0)},
		{name: "each box, window 1, callers 0.25 s", backoffRules: rules(1, 250*time.Millisecond)},
		{name: "each box, window 1, callers 0.5 s", backoffRules: rules(1, 500*time.Millisecond)},
		{name: "each box, window 1, callers 1 s", backoffRules: rules(1, time.Second)},
		{name: "each box, window 4, callers 0.5 s", backoffRules: rules(4, 500*time.Millisecond)},
		{name: "each box, back at once, callers 0.5 s", backoffRules: rules(0, 500*time.Millisecond)},
		{name: "all boxes, window 1, callers 0.5 s", backoffRules: rules(1, 500*time.Millisecond), backoffForAll: true},
	}
}

func noticeLoads() []noticeLoad {
	reject := func(n *noticeFleet, every int, share float64, span time.Duration) {
		until := time.Now().Add(span)
		n.eachNth(every, func(e *noticeEngine) { e.rejectShare, e.rejectUntil = share, until })
	}
	return []noticeLoad{
		{name: "a quarter turn all away for 6 s", play: func(n *noticeFleet, perSecond float64) {
			reject(n, 4, 1, 6*time.Second)
			n.sendModelRequests(perSecond, noticeLoadTime)
		}},
		{name: "all turn all away for 2 s", play: func(n *noticeFleet, perSecond float64) {
			reject(n, 1, 1, 2*time.Second)
			n.sendModelRequests(perSecond, noticeLoadTime)
		}},
		{name: "a quarter turn two of five away for 12 s", play: func(n *noticeFleet, perSecond float64) {
			reject(n, 4, 0.4, 12*time.Second)
			n.sendModelRequests(perSecond, noticeLoadTime)
		}},
		{name: "a third more than all have slots for", play: func(n *noticeFleet, perSecond float64) {
			n.engineSlots = max(1, int(perSecond*1.2/float64(len(n.engines))/1.33))
			n.sendModelRequests(perSecond, noticeLoadTime)
		}},
		{name: "the same with rests of 0.2 s", play: func(n *noticeFleet, perSecond float64) {
			n.backoff = 200 * time.Millisecond
			n.engineSlots = max(1, int(perSecond*1.2/float64(len(n.engines))/1.33))
			n.sendModelRequests(perSecond, noticeLoadTime)
		}},
	}
}

var _ = Describe("ways to heed what upstreams tell", func() {
	It("are compared by what is sent against it and what is not served", func() {
		if *noticeWays == "" {
			Skip("by hand: -notice-ways=. for all")
		}
		chosen := regexp.MustCompile(*noticeWays)
		for _, size := range comparedSizes {
			for _, load := range noticeLoads() {
				for _, variant := range noticeVariants() {
					if chosen.MatchString(fmt.Sprintf("%d, %s, %s", size.boxes, load.name, variant.name)) {
						compareNoticeVariant(size, load, variant)
					}
				}
			}
		}
	})
})

// compareNoticeVariant runs one load with one variant and prints a row of the table.
func compareNoticeVariant(size smallFleetSize, load noticeLoad, variant noticeVariant) {
	withNoticeFleet(size, variant, func(n *noticeFleet) {
		load.play(n, 12*float64(size.upstreams))
		n.callers.Wait()
		asked := 0
		for _, count := range n.outcomes {
			asked += count
		}
		fmt.Printf("| %d | %s | %s | %d | %d | %d | %d | %d | %d of %d |\n", size.boxes, load.name, variant.name, n.sentInBackoff, n.rejected, n.largestBurst,
			n.outcomes[served], n.outcomes[served+" at its return"], n.outcomes[refused+" at its return"]+n.outcomes[broken], asked)
	})
}
