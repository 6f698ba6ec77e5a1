package gateway

import (
	"slices"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// mayServe reports whether upstreams in a hall may serve the request: its route and its customer may each be bound to regions, and both
// bind. A hall whose region is not known serves only what may be served anywhere.
func (r *inflight) mayServe(hall string) bool {
	if !r.bound {
		return true
	}
	region := r.gateway.Regions[hall]
	return r.route.Regions.Allow(region) && (r.customer == nil || r.customer.Regions.Allow(region))
}

// isBound reports whether requests of a customer on a route are bound to regions.
func isBound(route *routes.Route, customer *customers.Customer) bool {
	return len(route.Regions) > 0 || customer != nil && len(customer.Regions) > 0
}

// allowedHalls lists the halls whose upstreams may serve the request, sorted; none if all may. A request that none may serve has no
// candidate, and never asks for them.
func (r *inflight) allowedHalls() []string {
	if !r.bound {
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
