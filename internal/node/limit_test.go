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

var _ = Describe("engines that state a limit", func() {
	DescribeTable("get no more than it from all boxes together, and not much less, while others serve", func(size smallFleetSize) {
		if size.boxes > *crashBoxes {
			Skip("more boxes than -crash-boxes")
		}
		if raceDetector && size.boxes > raceSize.boxes {
			size = raceSize
		}
		withNoticeFleet(size, noticeVariant{backoffRules: fleet.DefaultBackoffPolicy}, func(n *noticeFleet) {
			n.setLimit(6, 1)
			n.sendModelRequests(6*float64(size.upstreams), 12*time.Second)
			n.callers.Wait()
			count := n.countLimited(func(int) bool { return false })
			GinkgoWriter.Printf("%+v, requests ended: %v\n", count, n.outcomes)
			Expect(count.exceeded).To(BeZero(), "windows with more requests than allowed, by up to %v", count.worstExcess)
			Expect(count.exceededByAll).To(BeZero(), "windows with more requests of all boxes than allowed")
			Expect(float64(count.received)).To(BeNumerically(">=", 0.7*count.allowed), "engines left idle")
			Expect(n.outcomes[refused+" at its return"]+n.outcomes[broken]).To(BeNumerically("<=", n.outcomes[served]/200), "not served")
		})
	},
		Entry("at 7 boxes", smallFleetSize{boxes: 7, halls: 4, upstreams: 18}),
		Entry("at 39 boxes", smallFleetSize{boxes: 39, halls: 3, upstreams: 60}),
		Entry("at 515 boxes", smallFleetSize{boxes: 515, halls: 7, upstreams: 600}),
	)

	It("can be followed by log lines alone: which limit each stated to which box in which answer, what was sent under it and when it ended", func() {
		core, lines := observer.New(zap.InfoLevel)
		withLoggedNoticeFleet(smallFleetSize{boxes: 7, halls: 4, upstreams: 18}, noticeVariant{backoffRules: fleet.DefaultBackoffPolicy}, core, func(n *noticeFleet) {
			const limited = "e000"
			ask := func(requests int) {
				for k := range requests {
					n.callers.Go(func() { n.sendModelRequest(k%n.boxes, fmt.Sprint(k)) })
					time.Sleep(5 * time.Millisecond)
				}
				n.callers.Wait()
			}
			n.setLimit(18, 2.5)
			ask(800)
			n.setLimit(18, -1)
			time.Sleep(4 * time.Second)
			ask(800)
			named, ended := map[any]bool{}, map[any]bool{}
			for _, line := range lines.FilterMessage("upstream notice").All() {
				fields := line.ContextMap()
				Expect(fields["backend"]).To(Equal(limited))
				switch fields["kinds"].([]any)[0] {
				case "limit":
					Expect(fields["limit"]).To(Equal(2.5))
					named[fields["box"]] = true
				case "limit ended":
					ended[fields["box"]] = true
				}
			}
			Expect(named).NotTo(BeEmpty())
			Expect(ended).NotTo(BeEmpty())
			sent := lines.FilterMessage("sent to limited upstream").FilterField(zap.String("backend", limited)).FilterField(zap.Float64("limit", 2.5))
			Expect(sent.Len()).To(BeNumerically(">", 0))
			Expect(sent.Len()).To(Equal(lines.FilterMessage("sent to limited upstream").Len()))
		})
	})
})
