package gateway

import (
	"slices"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// mayServe reports whether upstreams in a hall may serve the request. Its route and its customer may each be
// restricted to regions, and both restrictions apply. A hall whose region is unknown serves only requests without
// restrictions.
func (r *inflight) mayServe(hall string) bool {
	if !r.regionBound {
		return true
	}
	region := r.gateway.Regions[hall]
	return r.route.Regions.Allow(region) && (r.customer == nil || r.customer.Regions.Allow(region))
}

// isRegionBound reports whether requests of a customer on a route are restricted to regions.
func isRegionBound(route *routes.Route, customer *customers.Customer) bool {
	return len(route.Regions) > 0 || customer != nil && len(customer.Regions) > 0
}

// allowedHalls returns the sorted halls whose upstreams may serve the request; nil if all may. A request that no
// hall may serve has no candidate and never gets here.
func (r *inflight) allowedHalls() []string {
	if !r.regionBound {
		return nil
	}
	var halls []string
	for hall := range r.gateway.Regions {
		if r.mayServe(hall) {
			halls = append(halls, hall)
		}
	}
	slices.Sort(halls)
	return halls
}
