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

var _ = Describe("engines that name a limit", func() {
	It("show in lines alone what each named, to which box, by which answer, what was sent under it and when it ended", func() {
		core, lines := observer.New(zap.InfoLevel)
		withLoggedNoticeFleet(smallFleetSize{boxes: 7, halls: 4, upstreams: 18}, noticeWay{rests: fleet.DefaultRests}, core, func(n *noticeFleet) {
			const limited = "e000"
			ask := func(requests int) {
				for k := range requests {
					n.callers.Go(func() { n.askOnce(k%n.boxes, fmt.Sprint(k)) })
					time.Sleep(5 * time.Millisecond)
				}
				n.callers.Wait()
			}
			n.nameLimit(18, 2.5)
			ask(800)
			n.nameLimit(18, -1)
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
