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
	// planInterval is the shortest pause between two plans.
	planInterval = time.Second
	// planPauseFactor is how many times as long as the last plan took the pause before the next one is, if that is
	// longer than planInterval. Planning thus takes no more than about 1/planPauseFactor of a core. Its effect by
	// size of the fleet is in docs/CAPACITY.md.
	planPauseFactor = 50
	// planWriteTimeout bounds the writing of one plan.
	planWriteTimeout = 3 * time.Second
	// retireAfter is how long replicas of old weights are kept. It is longer than a record takes to reach all boxes.
	retireAfter = 10 * time.Second
	// sweepInterval is the time between two sweeps of old claims.
	sweepInterval = 2 * time.Minute
)

// Reasons why no plan is written.
const (
	errPlanUnchanged = errors.ConstError("the plan stands as it is")
	errNewerTerm     = errors.ConstError("a planner with a higher term has written")
)

// planner makes the fleet's plans and sweeps old claims while this box holds the planner's lease. placement.Next
// decides what a plan contains.
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

	// readTerm is the latest term for which the store was read. sweptAt is when claims were last swept.
	readTerm int64
	sweptAt  time.Time
}

// run makes plans until ctx ends.
func (p *planner) run(ctx context.Context) {
	p.sweptAt = time.Now()
	var took time.Duration
	for pause(ctx, jitter(max(planInterval, planPauseFactor*took))) {
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

// takeOver reads the store once per term and reports whether that has been done. What this box has may be older than
// what the previous planner used.
func (p *planner) takeOver(ctx context.Context, term int64) bool {
	if term == p.readTerm {
		return true
	}
	if _, err := p.follower.read(ctx); err != nil {
		return false // The next round tries again.
	}
	p.readTerm = term
	return true
}

// sweep removes old claims if sweepInterval has passed since the last sweep.
func (p *planner) sweep(ctx context.Context) {
	if time.Since(p.sweptAt) <= sweepInterval {
		return
	}
	p.sweptAt = time.Now()
	if err := p.claimed.claims.Sweep(ctx); err != nil {
		p.set.GetOrCreateCounter("ospreymoor_sweep_failures_total").Inc()
	}
}

// replan writes the next plan if it differs from the current one. It does nothing until the box list and the newest
// table in force are known: with an older table it would drop the models of a bundle that was just rolled.
func (p *planner) replan(ctx context.Context, term int64) error {
	table := p.inForce.current.Load()
	if table == nil || p.fleet.view.Size() == 0 || !p.inForce.newest(table) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, planWriteTimeout)
	defer cancel()
	in := p.input(table)
	// Most of the time the plan known here does not change. Then nothing is read or written.
	if next := placement.Next(in); p.fleet.snapshot.Load().planned && next.Equal(in.Last) && in.Last.Term == term {
		return nil
	}
	document, err := kv.UpdateDocument(ctx, p.store, planRecord, func(last placement.Plan) (placement.Plan, error) {
		if last.Term > term {
			return last, errNewerTerm
		}
		in.Last = last
		next := placement.Next(in)
		if next.Equal(last) && last.Term == term {
			return last, errPlanUnchanged
		}
		next.Term, next.Planner = term, p.self.address
		return next, nil
	})
	if errors.Is(err, errPlanUnchanged) {
		return nil
	}
	if err != nil {
		return err
	}
	p.cachePlan(document)
	p.set.GetOrCreateCounter("ospreymoor_plans_total").Inc()
	return nil
}

// input returns what the next plan is made from.
func (p *planner) input(table *tableInForce) placement.Input {
	in := placement.Input{
		Engines:  p.fleet.placementEngines(),
		Wanted:   wantedUnits(table.bundles, p.demand.fleetDemand()),
		Settings: p.settings,
		Now:      time.Now().UTC().Truncate(time.Millisecond),
	}
	in.Settings.RetireAfter, in.Settings.SettleTime = retireAfter, replicaSettleDelay
	in.Last = p.fleet.snapshot.Load().plan
	return in
}

// cachePlan puts a plan that this box wrote into its cache.
func (p *planner) cachePlan(document kv.Versioned[placement.Plan]) {
	value, err := json.Marshal(kv.Document[placement.Plan]{Body: document.Body})
	if err != nil {
		return // Cannot happen: the plan was just encoded to be written.
	}
	p.fleet.cache.Put(records.Record{
		Name:       planRecord,
		Generation: records.Generation{Term: document.Revision},
		Value:      value,
	})
}
