package gateway

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("a sending to an upstream that told this box that it leaves, or wants rest", func() {
	It("has a line that names the request, the upstream and what it goes against", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) fate { return whole }, 1)
			core, lines := observer.New(zap.InfoLevel)
			f.Log = zap.New(core)
			var noted []fleet.Noted
			f.Directory.OnNotice = func(n fleet.Noted) { noted = append(noted, n) }
			f.Directory.Endpoint(fleet.Upstream{ID: "p0"}).Told(fleet.Notice{Leaving: true, Rest: 3 * time.Second})
			Expect(noted).To(HaveLen(1))
			Expect(noted[0].Kinds()).To(Equal([]string{"leaving", "rest"}))
			time.Sleep(time.Second)
			for n := range 20 {
				f.ask(context.Background(), fmt.Sprint("r", n), "/safe/x", "")
			}
			sent := 0
			for _, on := range f.upstreams.on {
				if on == "p0" {
					sent++
				}
			}
			against := lines.FilterMessage("sent against notice").All()
			Expect(against).To(HaveLen(sent))
			for _, line := range against {
				Expect(line.ContextMap()["backend"]).To(Equal("p0"))
				Expect(line.ContextMap()["leavingFor"]).To(Equal(time.Second))
				Expect(line.ContextMap()["restLeft"]).To(Equal(2 * time.Second))
			}
			Expect(f.Metrics.GetOrCreateCounter("ospreymoor_sent_against_notice_total").Get()).To(BeEquivalentTo(sent))
		})
	})
})
