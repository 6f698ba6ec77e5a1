package box

import (
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/records"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// tidier drops what boxes, engines and bundles that are gone have left in the other parts.
type tidier struct {
	members *members
	fleet   *fleetState
	engines *engineClients
	router  *routing.Router
	inForce *bundlesInForce
	cache   *records.Cache
}

// forgetGone drops what belongs to nothing that is live, listed or in force.
func (t *tidier) forgetGone() {
	incarnations := map[string]bool{}
	for _, p := range t.members.view.Live() {
		incarnations[p.Incarnation] = true
	}
	t.fleet.sent.forget(incarnations)
	snapshot := t.fleet.snapshot.Load()
	t.engines.forget(snapshot.engines)
	t.router.Forget(snapshot.lists)
	table := t.inForce.current.Load()
	if table == nil {
		return
	}
	texts := map[string]bool{}
	for customer, entry := range table.table.Customers {
		texts[bundle.TextKey(customer, entry.Version)] = true
	}
	t.cache.Forget(func(name string) bool { return isShared(name) || texts[name] })
}
