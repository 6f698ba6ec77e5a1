package residency_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("an engine in an evacuated hall", func() {
	It("gets no order and no call for a report, and a model that only it held is loaded elsewhere", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			called := 0
			order, report := t.controller.Engines.Order, t.controller.Engines.Report
			t.controller.Engines.Order = func(ctx context.Context, to *fleet.Endpoint, given residency.Order) (residency.Result, error) {
				if to.ID == "e0" {
					called++
				}
				return order(ctx, to, given)
			}
			t.controller.Engines.Report = func(ctx context.Context, of *fleet.Endpoint) (residency.Report, error) {
				if of.ID == "e0" {
					called++
				}
				return report(ctx, of)
			}
			d := t.controller.Directory
			d.SetEvacuated(d.Revision(), map[string]bool{"e0": true}) // The fixture puts each engine into its own hall.
			t.run(20*time.Second, "m0")
			Expect(called).To(BeZero())
			held := func(engine string) bool { _, ok := t.engines[engine].models["m0"]; return ok }
			Expect(held("e1") || held("e2")).To(BeTrue())
		})
	})
})
