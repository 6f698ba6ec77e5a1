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

var _ = Describe("engines that tell in their answers that they leave, or want rest", func() {
	kept := noticeWay{rests: fleet.DefaultRests}
	sizes := func(size smallFleetSize, f func(*noticeFleet, float64)) {
		if size.boxes > *crashBoxes {
			Skip("more boxes than -crash-boxes")
		}
		if raceDetector && size.boxes > raceSize.boxes {
			size = raceSize
		}
		withNoticeFleet(size, kept, func(n *noticeFleet) { f(n, 12*float64(size.upstreams)) })
	}
	const span = 8 * time.Second

	DescribeTable("are left alone by each box that was told, and others serve", func(size smallFleetSize) {
		sizes(size, func(n *noticeFleet, perSecond float64) {
			until := time.Now().Add(6 * time.Second)
			n.some(4, func(e *noticeEngine) { e.share, e.turningUntil = 1, until })
			n.askForModel(perSecond, span)
			n.callers.Wait()
			GinkgoWriter.Printf("%d turned away, at most %d in 0.1 s at one engine, requests ended: %v\n", n.turnedAway, n.longest, n.outcomes)
			Expect(n.turnedAway).To(BeNumerically(">", 0))
			Expect(n.late).To(BeZero(), "requests in a rest")
			Expect(n.outcomes[refused+" at its return"]+n.outcomes[broken]).To(BeNumerically("<=", n.outcomes[served]/200), "not served")
		})
	},
		Entry("at 7 boxes", smallFleetSize{boxes: 7, halls: 4, upstreams: 18}),
		Entry("at 60 boxes", smallFleetSize{boxes: 60, halls: 4, upstreams: 90}),
		Entry("at 515 boxes", smallFleetSize{boxes: 515, halls: 7, upstreams: 600}),
	)

	DescribeTable("get nothing more when they leave, from boxes that were not told themselves either", func(size smallFleetSize) {
		sizes(size, func(n *noticeFleet, perSecond float64) {
			n.some(3, func(e *noticeEngine) { e.leaving = true })
			left := time.Now()
			time.AfterFunc(4*time.Second, func() {
				n.some(3, func(e *noticeEngine) {
					e.gone = true
					e.end()
				})
			})
			n.askForModel(perSecond, span)
			n.callers.Wait()
			GinkgoWriter.Printf("%d lost, the last box knew after %v, requests ended: %v\n", n.lost, n.lastKnew().Sub(left), n.outcomes)
			Expect(n.afterLeaving).To(BeZero())
			Expect(n.lastKnew().Sub(left)).To(BeNumerically("<", leaveTime))
			Expect(n.lost).To(BeZero(), "runs that ended with their engine")
			Expect(n.outcomes[served]).To(BeNumerically(">", 0))
		})
	},
		Entry("at 7 boxes", smallFleetSize{boxes: 7, halls: 4, upstreams: 18}),
		Entry("at 60 boxes", smallFleetSize{boxes: 60, halls: 4, upstreams: 90}),
		Entry("at 515 boxes", smallFleetSize{boxes: 515, halls: 7, upstreams: 600}),
	)

	It("show in lines alone what each told, to which box, by which way and when, and that nothing was sent against it", func() {
		core, lines := observer.New(zap.InfoLevel)
		withLoggedNoticeFleet(smallFleetSize{boxes: 7, halls: 4, upstreams: 18}, kept, core, func(n *noticeFleet) {
			const leaving = "e000"
			n.some(18, func(e *noticeEngine) { e.leaving = true })
			until := time.Now().Add(time.Second)
			n.some(7, func(e *noticeEngine) { e.share, e.turningUntil = 1, until })
			// Callers ask at one box alone: the others can only know from boxes.
			for k := range 800 {
				n.callers.Go(func() { n.askOnce(0, fmt.Sprint(k)) })
				time.Sleep(5 * time.Millisecond)
			}
			n.callers.Wait()
			sources := map[any]int{}
			boxes := map[any]bool{}
			for _, line := range lines.FilterMessage("upstream notice").All() {
				fields := line.ContextMap()
				if fields["backend"] == leaving && fields["kinds"].([]any)[0] == "leaving" {
					Expect(boxes).NotTo(HaveKey(fields["box"]), "told twice")
					boxes[fields["box"]] = true
					sources[fields["source"]]++
				}
			}
			Expect(boxes).To(HaveLen(7))
			Expect(sources).To(Equal(map[any]int{"request": 1, "box": 6}))
			rests := lines.FilterMessage("upstream notice").FilterField(zap.Duration("rest", n.rest)).All()
			Expect(rests).To(HaveLen(n.turnedAway))
			Expect(lines.FilterMessage("sent against notice").All()).To(BeEmpty())
		})
	})
})
