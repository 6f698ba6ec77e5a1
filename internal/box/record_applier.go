package box

import (
	"context"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// adoptRetryDelay is the pause after a table could not be put in force, for instance because a bundle's text is
// missing.
const adoptRetryDelay = 500 * time.Millisecond

// recordApplier applies records that arrive in the cache to the state by which requests are served.
type recordApplier struct {
	cache   *records.Cache
	reader  *recordReader
	view    *membership.View
	fleet   *fleetState
	inForce *bundlesInForce
	log     *zap.Logger
	set     *metrics.Set
	// changed is signalled when a record has arrived.
	changed chan struct{}
	// heartbeatSoon is signalled when a change must reach all boxes within seconds.
	heartbeatSoon chan struct{}
}

// run applies records until ctx ends.
func (a *recordApplier) run(ctx context.Context) {
	applied := map[string]records.Generation{}
	for {
		select {
		case <-a.changed:
		case <-ctx.Done():
			return
		}
		a.apply(a.changedNames(applied))
		if err := a.inForce.adopt(ctx); err != nil {
			a.set.GetOrCreateCounter("ospreymoor_adopt_failures_total").Inc()
			a.log.Warn("table not put in force yet", zap.Error(err))
			time.AfterFunc(adoptRetryDelay, func() { wake(a.changed) })
		}
	}
}

// changedNames lists the records that have changed since the last call, and marks them as applied.
func (a *recordApplier) changedNames(applied map[string]records.Generation) []string {
	var names []string
	for name, generation := range a.cache.Generations(func(string) bool { return true }) {
		if old, ok := applied[name]; !ok || old.Less(generation) {
			applied[name] = generation
			names = append(names, name)
		}
	}
	return names
}

// apply applies the records named. It rebuilds the fleet's snapshot once if any of them is part of it.
func (a *recordApplier) apply(names []string) {
	rebuild := false
	for _, name := range names {
		switch {
		case name == boxListRecord:
			a.view.SetList(readRecord[membership.List](a.reader, name))
			rebuild = true
		case name == planRecord, strings.HasPrefix(name, holdingsPrefix):
			rebuild = true
		case strings.HasPrefix(name, loadsPrefix):
			a.fleet.applyLoads(name, readRecord[orders.Loads](a.reader, name))
		}
		if name == bundle.TableKey || name == planRecord {
			wake(a.heartbeatSoon)
		}
	}
	if rebuild {
		a.fleet.rebuild()
	}
}
