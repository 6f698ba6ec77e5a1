package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("the log line of a request", func() {
	It("has the prediction by which admission refused it", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			core, lines := observer.New(zap.InfoLevel)
			f.Log = zap.New(core)
			busy := dispatch.Load{Running: 3, Prefill: [dispatch.UrgencyLevels]int{100_000}, Tokens: 5000}
			f.Loads.SetRemoteLoads(map[string]dispatch.Load{"e0": busy, "e1": busy, "e2": busy, "e3": busy}, time.Now())
			f.ask(context.Background(), "r1", "/stream/x", "m")
			ended := lines.FilterMessage("request ended").All()
			Expect(ended).To(HaveLen(1))
			fields := ended[0].ContextMap()
			Expect(fields["reason"]).To(Equal(string(reasonFull)))
			Expect(fields["sendings"]).To(Equal(int64(0)))
			Expect(fields["backend"]).To(BeEmpty())
			Expect(fields["predicted"]).To(BeNumerically(">", 2*time.Second))
			Expect(fields["uncached"]).To(Equal(int64(200)))
			Expect(fields["running"]).To(Equal(int64(3)))
			Expect(fields["memory"]).To(Equal(int64(5000)))
		})
	})

	It("names the software versions that wrote a stream and the attempt that the stream resumes", func() {
		spectest.Bubble(func() {
			f := newFixture(func(_ string, n int) behavior { return []behavior{brokenBody, succeeds}[min(n, 2)-1] }, 1)
			core, lines := observer.New(zap.InfoLevel)
			f.Log = zap.New(core)
			f.setVersions("v1", "v1", "v1", "v1")
			request := streamRequest("r2")
			request.LastEventID, request.Resumes = "1", []string{"r1"}
			Expect(f.serve(context.Background(), request).Code).To(Equal(200))
			ended := lines.FilterMessage("request ended").All()
			Expect(ended).To(HaveLen(1))
			fields := ended[0].ContextMap()
			Expect(fields["versions"]).To(Equal([]any{"v1"}))
			Expect(fields["resumes"]).To(Equal([]any{"r1"}))
			Expect(fields["resumesAfter"]).To(Equal("1"))
			Expect(lines.FilterMessage("attempt failed").All()[0].ContextMap()["version"]).To(Equal("v1"))
		})
	})
})
