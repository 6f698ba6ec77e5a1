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
	plannerLease    = "leases/planner"
)

// leaseCandidates is how many boxes contend for a lease at a time, so that a lease costs little more than its
// renewals (docs/design/control.md).
const leaseCandidates = 2

// control is this box's part in the control of the fleet: any box may hold its hall's lease, the planner's, both or
// none.
type control struct {
	hall       *lease.Lease
	planner    *lease.Lease
	controller *orders.Controller
	plans      *planner
}

// controlParts holds the parts that control works with.
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
	// follower reads the store on a takeover.
	follower *storeFollower
	log      *zap.Logger
	set      *metrics.Set
}

func newControl(parts controlParts) *control {
	c := &control{
		hall:    parts.lease(hallLeasePrefix+parts.self.hall, parts.members.inHall),
		planner: parts.lease(plannerLease, parts.members.inFleet),
	}
	h := &hallController{
		self:     parts.self,
		lease:    c.hall,
		fleet:    parts.fleet,
		engines:  parts.engines,
		follower: parts.follower,
	}
	c.controller = h.controller(parts)
	c.plans = &planner{
		self:     parts.self,
		lease:    c.planner,
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

// lease makes a lease for which the first of boxes contend, by rendezvous hashing; a draining box does not.
func (p controlParts) lease(key string, boxes func() []string) *lease.Lease {
	return lease.New(lease.Config{
		Store:  p.store,
		Key:    key,
		Holder: p.self.id,
		TTL:    p.config.LeaseTTL,
		Candidate: func() bool {
			return !p.self.draining.Load() && membership.Among(key, boxes(), p.self.id, leaseCandidates)
		},
		Changed: func(term int64) {
			p.log.Info("lease", zap.String("key", key), zap.Bool("held", term != 0), zap.Int64("term", term))
		},
	})
}

// start runs the leases, the controller and the planner until ctx ends.
func (c *control) start(ctx context.Context) *sync.WaitGroup {
	return run(ctx, c.hall.Run, c.planner.Run, c.controller.Run, c.plans.run)
}
