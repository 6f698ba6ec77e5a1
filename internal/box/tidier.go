package box

import (
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/records"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// staleStateCleaner removes from other parts of the box what they hold of boxes, engines and bundles that are gone.
type staleStateCleaner struct {
	members *members
	fleet   *fleetState
	engines *engineClients
	router  *routing.Router
	inForce *bundlesInForce
	cache   *records.Cache
}

// removeStale drops the state of boxes that are not live and of upstreams that are not listed. Once the table in
// force is known, it also drops the texts of bundles that are not in force.
func (c *staleStateCleaner) removeStale() {
	incarnations := map[string]bool{}
	for _, p := range c.members.view.Live() {
		incarnations[p.Incarnation] = true
	}
	c.fleet.sent.forget(incarnations)
	snapshot := c.fleet.snapshot.Load()
	c.engines.forget(snapshot.engines)
	c.router.Forget(snapshot.hasUpstream)
	table := c.inForce.current.Load()
	if table == nil {
		return
	}
	texts := map[string]bool{}
	for customer, entry := range table.table.Customers {
		texts[bundle.TextKey(customer, entry.Version)] = true
	}
	c.cache.Retain(func(name string) bool { return isShared(name) || texts[name] })
}
