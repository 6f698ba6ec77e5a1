package box

import (
	"context"
	"encoding/json"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/lease"
	"ospreymoor.example/ospreymoor/pkg/placement"
	"ospreymoor.example/ospreymoor/pkg/records"
)

const (
	// planInterval is the pause between two plans.
	planInterval = time.Second
	// planShare makes a planner that takes long plan less often: it takes no more than one part in so many of a core.
	// Its effect by size of the fleet is in docs/CAPACITY.md.
	planShare = 50
	// planTime bounds the writing of one plan.
	planTime = 3 * time.Second
	// retireAfter is how long copies of old weights stay: longer than a record takes to be everywhere.
	retireAfter = 10 * time.Second
	// sweepInterval is the pause between two sweeps of old claims.
	sweepInterval = 2 * time.Minute
)

// Reasons why no plan is written.
const (
	errPlanStands   = errors.ConstError("the plan stands as it is")
	errOtherPlanner = errors.ConstError("a planner with a higher term has written")
)

// planner makes the fleet's plans, and sweeps old claims, while this box holds the planner's lease. The rule of a plan
// is placement.Next.
type planner struct {
	self     *self
	lease    *lease.Lease
	settings placement.Settings
	follower *storeFollower
	store    kv.Store
	fleet    *fleetState
	inForce  *bundlesInForce
	demand   *demand
	claimed  *claimedRuns
	log      *zap.Logger
	set      *metrics.Set

	// readTerm is the latest term for which the store was read; sweptAt is when claims were last swept.
	readTerm int64
	sweptAt  time.Time
}

// run makes plans until ctx ends.
func (p *planner) run(ctx context.Context) {
	p.sweptAt = time.Now()
	var took time.Duration
	for pause(ctx, jitter(max(planInterval, planShare*took))) {
		term, err := p.lease.Term()
		if err != nil {
			continue // Another box plans.
		}
		if !p.takeOver(ctx, term) {
			continue
		}
		begun := time.Now()
		err = p.replan(ctx, term)
		took = time.Since(begun)
		if err != nil {
			p.set.GetOrCreateCounter("ospreymoor_plan_failures_total").Inc()
			p.log.Debug("no plan written", zap.Error(err))
		}
		p.sweep(ctx)
	}
}

// takeOver reads the store once a term, and reports whether that is done: what this box holds may be older than what
// the planner before it went by.
func (p *planner) takeOver(ctx context.Context, term int64) bool {
	if term == p.readTerm {
		return true
	}
	if _, err := p.follower.read(ctx); err != nil {
		return false // Tried again with the next plan.
	}
	p.readTerm = term
	return true
}

// sweep drops old claims when sweepInterval has passed.
func (p *planner) sweep(ctx context.Context) {
	if time.Since(p.sweptAt) <= sweepInterval {
		return
	}
	p.sweptAt = time.Now()
	if err := p.claimed.claims.Sweep(ctx); err != nil {
		p.set.GetOrCreateCounter("ospreymoor_sweep_failures_total").Inc()
	}
}

// replan writes the next plan if it differs from the one that stands. It makes none before the box list and the newest
// table in force are known: an older table would plan away the models of a bundle that was just rolled.
func (p *planner) replan(ctx context.Context, term int64) error {
	table := p.inForce.current.Load()
	if table == nil || p.fleet.view.Size() == 0 || !p.inForce.newest(table) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, planTime)
	defer cancel()
	in := p.input(table)
	// The plan that is known here stands most of the time: then nothing is read or written.
	if next := placement.Next(in); p.fleet.snapshot.Load().planned && next.Equal(in.Last) && in.Last.Term == term {
		return nil
	}
	document, err := kv.UpdateDocument(ctx, p.store, planRecord, func(last placement.Plan) (placement.Plan, error) {
		if last.Term > term {
			return last, errOtherPlanner
		}
		in.Last = last
		next := placement.Next(in)
		if next.Equal(last) && last.Term == term {
			return last, errPlanStands
		}
		next.Term, next.Planner = term, p.self.address
		return next, nil
	})
	if errors.Is(err, errPlanStands) {
		return nil
	}
	if err != nil {
		return err
	}
	p.put(document)
	p.set.GetOrCreateCounter("ospreymoor_plans_total").Inc()
	return nil
}

// input is what the next plan is made from.
func (p *planner) input(table *tableInForce) placement.Input {
	in := placement.Input{
		Engines:  p.fleet.placementEngines(),
		Wanted:   wantedUnits(table.bundles, p.demand.total()),
		Settings: p.settings,
		Now:      time.Now().UTC().Truncate(time.Millisecond),
	}
	in.Settings.RetireAfter, in.Settings.Settle = retireAfter, settleTime
	in.Last = p.fleet.snapshot.Load().plan
	return in
}

// put takes a plan that this box wrote into its own cache.
func (p *planner) put(document kv.Versioned[placement.Plan]) {
	value, err := json.Marshal(kv.Document[placement.Plan]{Body: document.Body})
	if err != nil {
		return // It was encoded to be written, just before.
	}
	p.fleet.cache.Put(records.Record{
		Name:       planRecord,
		Generation: records.Generation{Term: document.Revision},
		Value:      value,
	})
}
