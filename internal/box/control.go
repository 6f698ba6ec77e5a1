package box

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/lease"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/orders"
)

// Keys of the leases in the store.
const (
	hallLeasePrefix = "leases/hall/"
	plannerLeaseKey = "leases/planner"
)

// leaseCandidates is how many boxes contend for a lease at a time. With few of them, a lease costs little more than
// its renewals (docs/design/control.md).
const leaseCandidates = 2

// control is this box's part in the control of the fleet. Any box may hold its hall's lease, the planner's lease,
// both or neither.
type control struct {
	hallLease    *lease.Lease
	plannerLease *lease.Lease
	controller   *orders.Controller
	fleetPlanner *planner
}

// controlParts holds the parts of the box that control works with.
type controlParts struct {
	config  ControlConfig
	self    *self
	members *members
	engines *engineClients
	fleet   *fleetState
	inForce *bundlesInForce
	demand  *demand
	claimed *claimedRuns
	store   kv.Store
	// follower reads the store when this box takes over a lease.
	follower *storeFollower
	log      *zap.Logger
	set      *metrics.Set
}

func newControl(parts controlParts) *control {
	c := &control{
		hallLease:    parts.newLease(hallLeasePrefix+parts.self.hall, parts.members.inHall),
		plannerLease: parts.newLease(plannerLeaseKey, parts.members.inFleet),
	}
	h := &hallController{
		self:     parts.self,
		lease:    c.hallLease,
		fleet:    parts.fleet,
		engines:  parts.engines,
		follower: parts.follower,
	}
	c.controller = h.controller(parts)
	c.fleetPlanner = &planner{
		self:     parts.self,
		lease:    c.plannerLease,
		settings: parts.config.Placement,
		follower: parts.follower,
		store:    parts.store,
		fleet:    parts.fleet,
		inForce:  parts.inForce,
		demand:   parts.demand,
		claimed:  parts.claimed,
		log:      parts.log,
		set:      parts.set,
	}
	return c
}

// newLease returns a lease for which the first leaseCandidates of boxes contend, by rendezvous hashing. A draining
// box does not contend.
func (p controlParts) newLease(key string, boxes func() []string) *lease.Lease {
	return lease.New(lease.Config{
		Store:  p.store,
		Key:    key,
		Holder: p.self.id,
		TTL:    p.config.LeaseTTL,
		Candidate: func() bool {
			return !p.self.draining.Load() && membership.IsAmongFirst(key, boxes(), p.self.id, leaseCandidates)
		},
		Changed: func(term int64) {
			p.log.Info("lease", zap.String("key", key), zap.Bool("held", term != 0), zap.Int64("term", term))
		},
	})
}

// start runs the leases, the controller and the planner until ctx ends.
func (c *control) start(ctx context.Context) *sync.WaitGroup {
	return startLoops(ctx, c.hallLease.Run, c.plannerLease.Run, c.controller.Run, c.fleetPlanner.run)
}
