package customers

import "slices"

// Regions are the regions in which the data of a customer or a route may be served and stored. If empty, all regions
// are allowed.
type Regions []string

// Allow reports whether a region is allowed. An unknown region ("") is allowed only if all are.
func (r Regions) Allow(region string) bool {
	return len(r) == 0 || region != "" && slices.Contains(r, region)
}
