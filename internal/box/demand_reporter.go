package box

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/lease"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

const (
	// demandInterval is how often demand is reported in a small hall.
	demandInterval = 5 * time.Second
	// demandIntervalBoxes is the number of boxes per demandInterval: a hall with n times as many reports n times less
	// often.
	demandIntervalBoxes = 16
)

// demandReporter samples this box's demand and reports it to the hall's controller. The box that is the controller
// also reports the hall's demand to the planner.
type demandReporter struct {
	self    *self
	members *members
	demand  *demand
	reader  *recordReader
	fleet   *fleetState
	// hallLease is held if this box is the hall's controller.
	hallLease *lease.Lease
	peers     *peer.Client
	set       *metrics.Set
}

// run samples and reports demand periodically until ctx ends.
func (r *demandReporter) run(ctx context.Context) {
	last := time.Now()
	for pause(ctx, placement.MeterInterval) {
		r.demand.Sample()
		interval := demandInterval * time.Duration(max(1, len(r.members.inHall())/demandIntervalBoxes))
		if time.Since(last) < interval {
			continue
		}
		last = time.Now()
		r.report(ctx)
	}
}

// report sends this box's demand to the hall's controller and, if this box is the controller, the hall's sum to the
// planner.
func (r *demandReporter) report(ctx context.Context) {
	own := peer.Demand{From: r.self.id, Models: r.demand.Demand()}
	holdings := readRecord[orders.Holdings](r.reader, holdingsPrefix+r.self.hall)
	r.send(ctx, holdings.Controller, own)
	if _, err := r.hallLease.Term(); err != nil {
		return // Another box holds the hall's lease.
	}
	sum := peer.Demand{From: r.self.hall, Models: r.demand.hallDemand(), Planner: true}
	r.send(ctx, r.fleet.snapshot.Load().plan.Planner, sum)
}

// send sends a report to the box at a peer address, which may be this box. It does nothing if the address is not
// known yet.
func (r *demandReporter) send(ctx context.Context, address string, report peer.Demand) {
	switch address {
	case "":
		return
	case r.self.address:
		r.demand.addReport(report)
		return
	}
	if _, err := callPeer[peer.Empty](ctx, r.peers, address, peer.MethodDemand, report); err != nil {
		r.set.GetOrCreateCounter("ospreymoor_demand_failures_total").Inc()
	}
}
