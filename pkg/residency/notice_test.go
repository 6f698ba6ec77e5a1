package residency_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("an engine that announced that it leaves, or asked for a backoff", func() {
	// calls records when each engine is sent an order or asked for a report, from now on.
	calls := func(t *testFleet) func(engine string) []time.Duration {
		begun := time.Now()
		var mu sync.Mutex
		at := map[string][]time.Duration{}
		note := func(engine string) {
			mu.Lock()
			defer mu.Unlock()
			at[engine] = append(at[engine], time.Since(begun))
		}
		order, report := t.controller.Engines.Order, t.controller.Engines.Report
		t.controller.Engines.Order = func(ctx context.Context, to *fleet.Endpoint, given residency.Order) (residency.Result, error) {
			note(to.ID)
			return order(ctx, to, given)
		}
		t.controller.Engines.Report = func(ctx context.Context, of *fleet.Endpoint) (residency.Report, error) {
			note(of.ID)
			return report(ctx, of)
		}
		return func(engine string) []time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return at[engine]
		}
	}

	It("gets no order and is asked for no report until its backoff is over", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			called := calls(t)
			const backoff = 5 * time.Second
			t.controller.Directory.RecordNotice("e0", fleet.Notice{Backoff: backoff})
			t.run(12*time.Second, "m0", "m1", "m2", "m3")
			Expect(called("e1")).NotTo(BeEmpty())
			Expect(called("e1")[0]).To(BeNumerically("<", backoff))
			Expect(called("e0")).NotTo(BeEmpty())
			Expect(called("e0")[0]).To(BeNumerically(">=", backoff))
		})
	})

	It("gets no order and no call for a report once it leaves, and a model that only it held is loaded elsewhere", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			called := calls(t)
			t.controller.Directory.RecordNotice("e0", fleet.Notice{Leaving: true})
			t.run(20*time.Second, "m0")
			Expect(called("e0")).To(BeEmpty())
			Expect(t.controller.Directory.OfService("s")).To(ContainElement(HaveField("Upstream.Leaving", true)))
			held := func(engine string) bool { _, ok := t.engines[engine].models["m0"]; return ok }
			Expect(held("e1") || held("e2")).To(BeTrue())
		})
	})
})
