package node

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/gateway"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// linkWays selects the variants to compare. docs/incidents/links-lost.md has their results.
var linkWays = flag.String("link-ways", "", "compare ways to serve at boxes without links to upstreams: those whose row matches, by boxes, cut and way")

// linkFleet is a fleet in which boxes are cut off from all upstreams, in silence.
type linkFleet struct {
	*noticeFleet
	linkMu sync.Mutex
	// cut has the boxes that are cut off.
	cut map[int]bool
	// carried counts the tunnels that each box opened for others.
	carried map[int]int
	// before are boxes of the previous version, which carry no tunnels.
	before map[int]bool
}

func (l *linkFleet) isCut(box int) bool {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	return l.cut[box]
}

const (
	// lostDial is after how long a connection attempt in silence ends, and callTime how long a caller waits.
	lostDial = 400 * time.Millisecond
	callTime = 2 * time.Second
)

// withLinkFleet runs f on a fleet whose first boxes are of the previous version.
func withLinkFleet(size smallFleetSize, boxesBefore int, tune func(*Node), f func(*linkFleet)) {
	l := &linkFleet{cut: map[int]bool{}, carried: map[int]int{}, before: map[int]bool{}}
	for n := range boxesBefore {
		l.before[n] = true
	}
	variant := noticeVariant{backoffRules: fleet.DefaultBackoffPolicy, tune: func(_ *noticeFleet, box *Node) { tune(box) }}
	variant.tuneConfig = func(n *noticeFleet, box int, config *Config) {
		l.noticeFleet = n
		l.tuneLinks(box, config)
	}
	withNoticeFleet(size, variant, func(*noticeFleet) { f(l) })
}

// tuneLinks puts a box behind links that can be cut.
func (l *linkFleet) tuneLinks(box int, config *Config) {
	send := config.Upstreams.Send
	config.Upstreams.Send = func(ctx context.Context, to *fleet.Endpoint, attempt gateway.Attempt) (*gateway.Answer, error) {
		if attempt.Tunnelled {
			conn, err := l.nodes[box].DialTunnel(ctx, to.ID, "")
			if err != nil {
				return nil, fmt.Errorf("%w: %w", err, gateway.ErrNotSent)
			}
			time.AfterFunc(eventGap*eventsPerAnswer, func() { _ = conn.Close() })
		} else if l.isCut(box) {
			if err := pause.For(ctx, lostDial); err != nil {
				return nil, err
			}
			return nil, gateway.ErrNotSent
		}
		return send(ctx, to, attempt)
	}
	config.Upstreams.Accepts = func(context.Context, fleet.Upstream) bool { return !l.isCut(box) }
	if l.before[box] {
		return
	}
	config.DialUpstream = func(ctx context.Context, _, _ string) (net.Conn, error) {
		if l.isCut(box) {
			<-ctx.Done()
			return nil, os.ErrDeadlineExceeded
		}
		l.linkMu.Lock()
		l.carried[box]++
		l.linkMu.Unlock()
		near, far := net.Pipe()
		go func() {
			_, _ = far.Read(make([]byte, 1)) // Ends when the tunnel is closed.
			_ = far.Close()
		}()
		return near, nil
	}
}

// linkCount counts first attempts from contactTime after the cut on, and the longest and mean time to the first event.
type linkCount struct {
	spectest.FirstTries
	total   time.Duration
	longest time.Duration
}

// contactTime is how long after a cut began the platform counts requests.
const contactTime = 3 * time.Second

// playCut cuts boxes off for some seconds under load. Callers of box n go to the box that route returns.
func (l *linkFleet) playCut(cutBoxes []int, perSecond float64, route func(box int, cutFor time.Duration) int) linkCount {
	l.linkMu.Lock()
	for _, box := range cutBoxes {
		l.cut[box] = true
	}
	l.linkMu.Unlock()
	random := rand.New(rand.NewPCG(1, 2))
	begun := time.Now()
	var mu sync.Mutex
	var count linkCount
	for k := range int(perSecond * 10) {
		box := route(l.randomBox(random), time.Since(begun))
		counts := time.Since(begun) >= contactTime
		l.callers.Go(func() {
			sent := time.Now()
			outcome, _ := l.sendModelRequest(box, fmt.Sprint("r", k))
			if !counts {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			took := time.Since(sent)
			count.Count(l.isCut(box), outcome == served && took <= callTime)
			count.total += took
			count.longest = max(count.longest, took)
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	l.callers.Wait()
	l.linkMu.Lock()
	clear(l.cut)
	l.linkMu.Unlock()
	return count
}

func stays(box int, _ time.Duration) int { return box }

// firstBoxes returns a function for the first n boxes, and hallBoxes one for those of the first halls.
func firstBoxes(n int) func(smallFleetSize) []int {
	return func(smallFleetSize) (list []int) {
		for box := range n {
			list = append(list, box)
		}
		return list
	}
}

func hallBoxes(halls int) func(smallFleetSize) []int {
	return func(size smallFleetSize) (list []int) {
		for box := range size.boxes {
			if box%size.halls < halls {
				list = append(list, box)
			}
		}
		return list
	}
}

func allHallsButOne(size smallFleetSize) []int { return hallBoxes(size.halls - 1)(size) }

var linkSizes = []smallFleetSize{
	{boxes: 7, halls: 4, upstreams: 18}, {boxes: 39, halls: 3, upstreams: 60}, {boxes: 86, halls: 4, upstreams: 144}, {boxes: 300, halls: 7, upstreams: 400},
}

var _ = Describe("boxes of a fleet that lose their links to all upstreams", func() {
	DescribeTable("serve their callers nearly as often as the others, over links that are spread", func(size smallFleetSize, cutOf func(smallFleetSize) []int, boxesBefore int) {
		if raceDetector && size.boxes > raceSize.boxes {
			size = raceSize
		}
		cut := cutOf(size)
		withLinkFleet(size, boxesBefore, func(*Node) {}, func(l *linkFleet) {
			count := l.playCut(cut, 10*float64(size.boxes), stays)
			GinkgoWriter.Printf("%+v, carried %v\n", count, l.carried)
			Expect(count.KeepsRecovery()).To(BeTrue(), "%+v", count)
			Expect(count.CutAsked).To(BeNumerically(">", 20))
			most, sum := 0, 0
			for _, carried := range l.carried {
				most = max(most, carried)
				sum += carried
			}
			able := size.boxes - len(cut) - boxesBefore
			Expect(most).To(BeNumerically("<=", 3*sum/able), "carried %v", l.carried)
			time.Sleep(3 * time.Second)
			for _, node := range l.nodes {
				Expect(node.Gateway.Links.Lost()).To(BeFalse())
			}
		})
	},
		Entry("three of 7", linkSizes[0], firstBoxes(3), 0),
		Entry("all but one of 7", linkSizes[0], firstBoxes(6), 0),
		Entry("a whole hall of 39", linkSizes[1], hallBoxes(1), 0),
		Entry("all halls but one of 39", linkSizes[1], allHallsButOne, 0),
		Entry("two of 7, beside boxes of the version before", linkSizes[0], func(smallFleetSize) []int { return []int{4, 5} }, 4),
	)

	It("serve in ways that are compared by hand", func() {
		if *linkWays == "" {
			Skip("by hand: -link-ways=. for all")
		}
		chosen := regexp.MustCompile(*linkWays)
		for _, size := range linkSizes {
			cuts := map[string]func(smallFleetSize) []int{"three boxes": firstBoxes(3), "a hall": hallBoxes(1), "all halls but one": allHallsButOne}
			for _, name := range []string{"three boxes", "a hall", "all halls but one"} {
				for _, way := range []string{"own links alone", "unready, and refused at once", "tunnels"} {
					if !chosen.MatchString(fmt.Sprintf("%d, %s, %s", size.boxes, name, way)) {
						continue
					}
					compareLinkWay(size, name, cuts[name](size), way)
				}
			}
		}
	})
})

// compareLinkWay plays one cut with one way and prints a row of the table.
func compareLinkWay(size smallFleetSize, name string, cut []int, way string) {
	tune := func(*Node) {}
	route := stays
	switch way {
	case "own links alone":
		tune = func(box *Node) { box.Gateway.Tunnels = gateway.Tunnels{} }
	case "unready, and refused at once":
		tune = func(box *Node) { box.Gateway.Tunnels = gateway.Tunnels{} }
		isCut, inHall, cutInHall := map[int]bool{}, map[int]int{}, map[int]int{}
		for _, box := range cut {
			isCut[box] = true
			cutInHall[box%size.halls]++
		}
		for box := range size.boxes {
			inHall[box%size.halls]++
		}
		route = func(box int, cutFor time.Duration) int {
			// Half of the callers keep their connections. The others move once two checks have failed, unless more than half of
			// the hall is unready.
			hall := box % size.halls
			if !isCut[box] || cutFor < 3*time.Second || 2*cutInHall[hall] > inHall[hall] || box%2 == 0 {
				return box
			}
			for other := range size.boxes {
				if other%size.halls == hall && !isCut[other] {
					return other
				}
			}
			return box
		}
	}
	withLinkFleet(size, 0, tune, func(l *linkFleet) {
		count := l.playCut(cut, 10*float64(size.boxes), route)
		most := 0
		for _, carried := range l.carried {
			most = max(most, carried)
		}
		fmt.Printf("| %d | %s | %s | %d of %d | %d of %d | %v | %d |\n", size.boxes, name, way, count.CutServed, count.CutAsked, count.OthersServed, count.OthersAsked,
			count.longest.Round(time.Millisecond), most)
	})
}
