package customers

import "slices"

// Regions are those in which what belongs to a customer, or passes a route, may be served and stored; empty, and it may be anywhere.
type Regions []string

// Allow reports whether a region is one of them. One that is not known ("") is allowed only where all are.
func (r Regions) Allow(region string) bool {
	return len(r) == 0 || region != "" && slices.Contains(r, region)
}
