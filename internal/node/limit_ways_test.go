package node

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// limitWays selects the variants to compare. docs/design/notices.md has their results.
var limitWays = flag.String("limit-ways", "", "compare ways to keep to limits that upstreams name: those whose row matches, by boxes, load and way")

// limitVariant is one way to keep requests within the limits of engines.
type limitVariant struct {
	name string
	// tune changes a box before it runs; nil changes nothing.
	tune func(n *noticeFleet, box *Node)
	// ignoreNotices makes boxes ignore all notices of engines.
	ignoreNotices bool
}

// askRateFunc asks whether a box may send a request to an engine with a limit.
type askRateFunc = func(context.Context, dispatch.RateRequest) (dispatch.RateGrant, error)

// withoutLimitReports stops a box from reporting limits to other boxes, except to the keepers that it asks.
func withoutLimitReports(_ *noticeFleet, box *Node) {
	directory := box.Gateway.Directory
	logged := directory.OnNotice
	directory.OnNotice = func(event fleet.NoticeEvent) {
		logged(event)
		directory.TakeChangedLimits()
	}
}

// ownAccounts returns a function that asks accounts that only this box uses. They grant a share of what all boxes
// may send.
func ownAccounts(box *Node, share float64) askRateFunc {
	accounts := dispatch.NewRateAccounts(coldTolerance)
	return func(_ context.Context, request dispatch.RateRequest) (dispatch.RateGrant, error) {
		reports := box.Gateway.Directory.LimitReports([]string{request.Engine})
		if len(reports) == 0 {
			return dispatch.RateGrant{Granted: true}, nil
		}
		request.Limit = &reports[0]
		return accounts.Take(request, share, time.Now()), nil
	}
}

// keeperUnreachable reports whether a network partition separates a box from the keeper of an engine.
func (n *noticeFleet) keeperUnreachable(box *Node, engine string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	own, keeper := -1, -1
	for k, other := range n.nodes {
		if other == box {
			own = k
		}
		if other != nil && other.members.IsKeeperOf(engine) {
			keeper = k
		}
	}
	return keeper >= 0 && n.hallOf(own) != n.hallOf(keeper) && (n.partitioned[n.hallOf(own)] || n.partitioned[n.hallOf(keeper)])
}

// withFallback returns a change of a box that asks the fallback while the keeper is unreachable. With a nil
// fallback, such a question fails.
func withFallback(fallback func(n *noticeFleet, box *Node) askRateFunc) func(*noticeFleet, *Node) {
	return func(n *noticeFleet, box *Node) {
		askKeeper := box.Gateway.AskRate
		var askFallback askRateFunc
		if fallback != nil {
			askFallback = fallback(n, box)
		}
		box.Gateway.AskRate = func(ctx context.Context, request dispatch.RateRequest) (dispatch.RateGrant, error) {
			switch {
			case !n.keeperUnreachable(box, request.Engine):
				return askKeeper(ctx, request)
			case askFallback == nil:
				return dispatch.RateGrant{}, errors.New("keeper is unreachable")
			}
			return askFallback(ctx, request)
		}
	}
}

func limitVariants() []limitVariant {
	return []limitVariant{
		{name: "not read", ignoreNotices: true},
		{name: "fixed parts", tune: func(n *noticeFleet, box *Node) { box.Gateway.AskRate = ownAccounts(box, 1/float64(n.boxes)) }},
		{name: "each box the whole limit", tune: func(_ *noticeFleet, box *Node) { box.Gateway.AskRate = ownAccounts(box, 1) }},
		{name: "one keeper, others not told", tune: withoutLimitReports},
		{name: "one keeper, nothing without it", tune: withFallback(nil)},
		{name: "one keeper, without it fixed parts", tune: withFallback(func(n *noticeFleet, box *Node) askRateFunc {
			return ownAccounts(box, 1/float64(n.boxes))
		})},
		{name: "one keeper, without it the hall's relay"},
	}
}

// limitLoadTime is how long callers send requests.
const limitLoadTime = 14 * time.Second

func limitLoads() []noticeLoad {
	ask := func(n *noticeFleet, perSecond float64) { n.sendModelRequests(perSecond, limitLoadTime) }
	return []noticeLoad{
		{name: "a sixth name 1 a second", play: func(n *noticeFleet, perSecond float64) {
			n.setLimit(6, 1)
			ask(n, perSecond)
		}},
		{name: "falls from 8 to 1 after 6 s", play: func(n *noticeFleet, perSecond float64) {
			n.setLimit(6, 8)
			time.AfterFunc(6*time.Second, func() { n.setLimit(6, 1) })
			ask(n, perSecond)
		}},
		{name: "rises from 1 to 4 after 6 s", play: func(n *noticeFleet, perSecond float64) {
			n.setLimit(6, 1)
			time.AfterFunc(6*time.Second, func() { n.setLimit(6, 4) })
			ask(n, perSecond)
		}},
		{name: "ends after 6 s", play: func(n *noticeFleet, perSecond float64) {
			n.setLimit(6, 1)
			time.AfterFunc(6*time.Second, func() { n.setLimit(6, -1) })
			ask(n, perSecond)
		}},
		{name: "all name half of what is asked", play: func(n *noticeFleet, perSecond float64) {
			n.setLimit(1, perSecond/float64(len(n.engines))/2)
			ask(n, perSecond)
		}},
		{name: "all name half, a hall cut off from 4 to 10 s", play: func(n *noticeFleet, perSecond float64) {
			n.setLimit(1, perSecond/float64(len(n.engines))/2)
			time.AfterFunc(4*time.Second, func() { n.setPartition("z0", true) })
			time.AfterFunc(10*time.Second, func() { n.setPartition("z0", false) })
			ask(n, perSecond)
		}},
	}
}

var limitSizes = []smallFleetSize{{boxes: 7, halls: 4, upstreams: 18}, {boxes: 39, halls: 3, upstreams: 60}, {boxes: 515, halls: 7, upstreams: 600}}

var _ = Describe("ways to keep to limits that upstreams name", func() {
	It("are compared by what goes beyond them, what is left idle and what is not served", func() {
		if *limitWays == "" {
			Skip("by hand: -limit-ways=. for all")
		}
		chosen := regexp.MustCompile(*limitWays)
		for _, size := range limitSizes {
			for _, load := range limitLoads() {
				for _, variant := range limitVariants() {
					if chosen.MatchString(fmt.Sprintf("%d, %s, %s", size.boxes, load.name, variant.name)) {
						compareLimitVariant(size, load, variant)
					}
				}
			}
		}
	})
})

// compareLimitVariant runs one load with one variant and prints a row of the table.
func compareLimitVariant(size smallFleetSize, load noticeLoad, variant limitVariant) {
	withNoticeFleet(size, noticeVariant{backoffRules: fleet.DefaultBackoffPolicy, ignoreNotices: variant.ignoreNotices, tune: variant.tune}, func(n *noticeFleet) {
		load.play(n, 6*float64(size.upstreams))
		n.callers.Wait()
		count := n.countLimited(func(int) bool { return false })
		asked := 0
		for _, outcome := range n.outcomes {
			asked += outcome
		}
		fmt.Printf("| %d | %s | %s | %d | %.0f | %d | %d of %.0f | %d | %d | %d | %d of %d |\n", size.boxes, load.name, variant.name, count.exceeded, count.worstExcess, count.exceededByAll,
			count.received, count.allowed, count.afterEnd, n.outcomes[served], n.outcomes[served+" at its return"], n.outcomes[refused+" at its return"]+n.outcomes[broken], asked)
	})
}
