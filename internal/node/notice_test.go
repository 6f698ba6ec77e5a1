package node

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

var _ = Describe("engines that state in their answers that they leave, or ask for a backoff", func() {
	variant := noticeVariant{backoffRules: fleet.DefaultBackoffPolicy}
	sizes := func(size smallFleetSize, f func(*noticeFleet, float64)) {
		if size.boxes > *crashBoxes {
			Skip("more boxes than -crash-boxes")
		}
		if raceDetector && size.boxes > raceSize.boxes {
			size = raceSize
		}
		withNoticeFleet(size, variant, func(n *noticeFleet) { f(n, 12*float64(size.upstreams)) })
	}
	const span = 8 * time.Second

	DescribeTable("get no requests in a backoff from a box that they asked for it, and others serve", func(size smallFleetSize) {
		sizes(size, func(n *noticeFleet, perSecond float64) {
			until := time.Now().Add(6 * time.Second)
			n.eachNth(4, func(e *noticeEngine) { e.rejectShare, e.rejectUntil = 1, until })
			n.sendModelRequests(perSecond, span)
			n.callers.Wait()
			GinkgoWriter.Printf("%d rejected, at most %d in 0.1 s at one engine, requests ended: %v\n", n.rejected, n.largestBurst, n.outcomes)
			Expect(n.rejected).To(BeNumerically(">", 0))
			Expect(n.sentInBackoff).To(BeZero(), "requests in a backoff")
			Expect(n.outcomes[refused+" at its return"]+n.outcomes[broken]).To(BeNumerically("<=", n.outcomes[served]/200), "not served")
		})
	},
		Entry("at 7 boxes", smallFleetSize{boxes: 7, halls: 4, upstreams: 18}),
		Entry("at 60 boxes", smallFleetSize{boxes: 60, halls: 4, upstreams: 90}),
		Entry("at 515 boxes", smallFleetSize{boxes: 515, halls: 7, upstreams: 600}),
	)

	DescribeTable("get no more requests when they leave, also from boxes that they did not tell", func(size smallFleetSize) {
		sizes(size, func(n *noticeFleet, perSecond float64) {
			n.eachNth(3, func(e *noticeEngine) { e.leaving = true })
			left := time.Now()
			time.AfterFunc(4*time.Second, func() {
				n.eachNth(3, func(e *noticeEngine) {
					e.gone = true
					e.kill()
				})
			})
			n.sendModelRequests(perSecond, span)
			n.callers.Wait()
			GinkgoWriter.Printf("%d lost, the last box learned of it after %v, requests ended: %v\n", n.lostRuns, n.lastLearnedAt().Sub(left), n.outcomes)
			Expect(n.sentAfterLeaving).To(BeZero())
			Expect(n.lastLearnedAt().Sub(left)).To(BeNumerically("<", leavingGrace))
			Expect(n.lostRuns).To(BeZero(), "requests that ended because their engine was gone")
			Expect(n.outcomes[served]).To(BeNumerically(">", 0))
		})
	},
		Entry("at 7 boxes", smallFleetSize{boxes: 7, halls: 4, upstreams: 18}),
		Entry("at 60 boxes", smallFleetSize{boxes: 60, halls: 4, upstreams: 90}),
		Entry("at 515 boxes", smallFleetSize{boxes: 515, halls: 7, upstreams: 600}),
	)

	It("can be followed by log lines alone: what each stated, to which box, by which source and when, and that nothing was sent against it", func() {
		core, lines := observer.New(zap.InfoLevel)
		withLoggedNoticeFleet(smallFleetSize{boxes: 7, halls: 4, upstreams: 18}, variant, core, func(n *noticeFleet) {
			const leaving = "e000"
			n.eachNth(18, func(e *noticeEngine) { e.leaving = true })
			until := time.Now().Add(time.Second)
			n.eachNth(7, func(e *noticeEngine) { e.rejectShare, e.rejectUntil = 1, until })
			// Callers send to one box only, so that the others can learn of it only from other boxes.
			for k := range 800 {
				n.callers.Go(func() { n.sendModelRequest(0, fmt.Sprint(k)) })
				time.Sleep(5 * time.Millisecond)
			}
			n.callers.Wait()
			sources := map[any]int{}
			boxes := map[any]bool{}
			for _, line := range lines.FilterMessage("upstream notice").All() {
				fields := line.ContextMap()
				if fields["backend"] == leaving && fields["kinds"].([]any)[0] == "leaving" {
					Expect(boxes).NotTo(HaveKey(fields["box"]), "more than one notice at a box")
					boxes[fields["box"]] = true
					sources[fields["source"]]++
				}
			}
			Expect(boxes).To(HaveLen(7))
			Expect(sources).To(Equal(map[any]int{"request": 1, "box": 6}))
			backoffs := lines.FilterMessage("upstream notice").FilterField(zap.Duration("rest", n.backoff)).All()
			Expect(backoffs).To(HaveLen(n.rejected))
			Expect(lines.FilterMessage("sent against notice").All()).To(BeEmpty())
		})
	})
})
