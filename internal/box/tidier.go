package box

import (
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/records"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// staleStateCleaner drops the state of boxes, engines and bundles that are gone from the other parts.
type staleStateCleaner struct {
	members *members
	fleet   *fleetState
	engines *engineClients
	router  *routing.Router
	inForce *bundlesInForce
	cache   *records.Cache
}

// removeStale drops the state of all boxes that are not live, upstreams that are not listed and bundles that are
// not in force.
func (t *staleStateCleaner) removeStale() {
	incarnations := map[string]bool{}
	for _, p := range t.members.view.Live() {
		incarnations[p.Incarnation] = true
	}
	t.fleet.sent.forget(incarnations)
	snapshot := t.fleet.snapshot.Load()
	t.engines.forget(snapshot.engines)
	t.router.Forget(snapshot.hasUpstream)
	table := t.inForce.current.Load()
	if table == nil {
		return
	}
	texts := map[string]bool{}
	for customer, entry := range table.table.Customers {
		texts[bundle.TextKey(customer, entry.Version)] = true
	}
	t.cache.Retain(func(name string) bool { return isShared(name) || texts[name] })
}
