package node

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

const (
	// coldSuffix marks the store entry of an engine that is cold for coldTime.
	coldSuffix = " cold"
	coldTime   = 3 * time.Second
)

// coldTolerance, and coldRate in requests per second, are the values of a deployment of 91 boxes.
var coldTolerance = dispatch.ColdTolerance{Overage: 1.5, Slack: 5}

const coldRate = 6.6

// allowedPerSecond returns the most requests that a cold engine may get in any second.
func allowedPerSecond() float64 { return coldRate*coldTolerance.Overage + coldTolerance.Slack }

// joinCold adds a cold engine to the fleet and the store.
func (n *noticeFleet) joinCold(id string) {
	n.addEngine(id)
	n.put("servers/"+id, id+coldSuffix)
}

func (n *noticeFleet) addEngine(id string) {
	alive, kill := context.WithCancel(context.Background())
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	n.engines[id] = &noticeEngine{alive: alive, kill: kill, backoffAskedAt: map[int]time.Time{}, leavingStatedAt: map[int]time.Time{}, limitStatedAt: map[int]time.Time{}}
}

// worstSecond returns the most requests that an engine got in any second until a time, and all that it got by then.
func (n *noticeFleet) worstSecond(id string, until time.Time) (worst, all int) {
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	arrivals := n.engines[id].allArrivals
	first := 0
	for last, at := range arrivals {
		if at.After(until) {
			break
		}
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		worst, all = max(worst, last-first+1), all+1
	}
	return worst, all
}

var _ = Describe("engines that are cold", func() {
	DescribeTable("get in any second no more from all boxes than they can take, and not much less, in a burst that begins as they join", func(size smallFleetSize) {
		if size.boxes > *crashBoxes {
			Skip("more boxes than -crash-boxes")
		}
		if raceDetector && size.boxes > raceSize.boxes {
			size = raceSize
		}
		withNoticeFleet(size, noticeVariant{backoffRules: fleet.DefaultBackoffPolicy, coldPerSecond: coldRate}, func(n *noticeFleet) {
			joining := max(2, size.upstreams/4)
			for k := range joining {
				n.joinCold(fmt.Sprint("c", k))
			}
			begun := time.Now()
			n.sendModelRequests(25*float64(size.upstreams+joining), coldTime+time.Second)
			n.callers.Wait()
			worst, all := 0, 0
			for k := range joining {
				w, a := n.worstSecond(fmt.Sprint("c", k), begun.Add(coldTime))
				worst, all = max(worst, w), all+a
			}
			GinkgoWriter.Printf("at most %d in a second, %.1f for each cold engine in all, requests ended: %v\n", worst, float64(all)/float64(joining), n.outcomes)
			Expect(float64(worst)).To(BeNumerically("<=", allowedPerSecond()))
			Expect(float64(all)/float64(joining)).To(BeNumerically(">", coldRate*coldTime.Seconds()/4), "cold engines left idle")
		})
	},
		Entry("at 7 boxes", smallFleetSize{boxes: 7, halls: 4, upstreams: 18}),
		Entry("at 60 boxes", smallFleetSize{boxes: 60, halls: 4, upstreams: 90}),
	)
})
