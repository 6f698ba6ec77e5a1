package box

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

const (
	// planInterval is the pause between two plans.
	planInterval = time.Second
	// planShare makes a planner that takes long plan less often: it takes no more than one
	// part in so many of a core.
	planShare = 50
	// planTime bounds the writing of one plan.
	planTime = 3 * time.Second
	// retireAfter is how long copies of old weights stay: longer than news takes to be everywhere.
	retireAfter = 10 * time.Second
	// settleTime is how long a new copy must be known before another is dropped for it.
	settleTime = 5 * time.Second
	// sweepInterval is the pause between two sweeps of old claims.
	sweepInterval = 2 * time.Minute
)

// Reasons why no plan is written.
const (
	errPlanStands   = errors.ConstError("the plan stands as it is")
	errOtherPlanner = errors.ConstError("a planner with a higher term has written")
)

// plan makes plans while this box holds the planner's lease.
func (c *control) plan(ctx context.Context) {
	swept := time.Now()
	var began int64
	var took time.Duration
	for pause(ctx, jitter(max(planInterval, planShare*took))) {
		term, err := c.planner.Term()
		if err != nil {
			continue
		}
		if term != began {
			// What this box holds may be older than what the planner before it went by.
			if _, err := c.box.readStore(ctx); err != nil {
				continue
			}
			began = term
		}
		begun := time.Now()
		err = c.replan(ctx, term)
		took = time.Since(begun)
		if err != nil {
			c.box.set.GetOrCreateCounter("ospreymoor_plan_failures_total").Inc()
			c.box.log.Debug("no plan written", zap.Error(err))
		}
		if time.Since(swept) > sweepInterval {
			swept = time.Now()
			if err := c.box.claimed.claims.Sweep(ctx); err != nil {
				c.box.set.GetOrCreateCounter("ospreymoor_sweep_failures_total").Inc()
			}
		}
	}
}

// replan writes the next plan if it differs from the one that stands.
func (c *control) replan(ctx context.Context, term int64) error {
	b := c.box
	f := b.inForce.current.Load()
	if f == nil || b.view.Size() == 0 || !b.inForce.newest(f) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, planTime)
	defer cancel()
	in := placement.Input{
		Engines:  b.fleet.placementEngines(),
		Wanted:   wantedUnits(f.bundles, b.demand.total()),
		Settings: b.config.Placement,
		Now:      time.Now().UTC().Truncate(time.Millisecond),
	}
	in.Settings.RetireAfter, in.Settings.Settle = retireAfter, settleTime
	// The plan that is known here stands most of the time: then nothing is read or written.
	in.Last = b.fleet.snapshot.Load().plan
	if next := placement.Next(in); b.fleet.snapshot.Load().planned && next.Equal(in.Last) && in.Last.Term == term {
		return nil
	}
	document, err := kv.UpdateDocument(ctx, b.store, planRecord, func(last placement.Plan) (placement.Plan, error) {
		if last.Term > term {
			return last, errOtherPlanner
		}
		in.Last = last
		next := placement.Next(in)
		if next.Equal(last) && last.Term == term {
			return last, errPlanStands
		}
		next.Term, next.Planner = term, b.config.PeerAddress
		return next, nil
	})
	if errors.Is(err, errPlanStands) {
		return nil
	}
	if err != nil {
		return err
	}
	b.putPlan(document)
	b.set.GetOrCreateCounter("ospreymoor_plans_total").Inc()
	return nil
}
