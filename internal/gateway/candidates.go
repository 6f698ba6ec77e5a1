package gateway

import (
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// suitability is how much of what a request needs an upstream has. Each level includes the ones
// before it.
type suitability int

const (
	// unusable upstreams leave, have lapsed or were tried by the request already.
	unusable suitability = iota
	lacksModel
	lacksAdapter
	// unreachable upstreams have all that is needed, but took no connection or turned such a
	// request down a moment ago.
	unreachable
	suitable
)

// candidates returns the upstreams of the service that may get the request now. If there is none,
// lacking is what the one that comes closest lacks.
//
// It reads the directory as this box has it: the platform's list, the reports of the order holder and
// what upstreams answered lately. A miss of that knowledge costs an attempt that is not executed.
func (r *inflight) candidates() (list []*fleet.State, lacking reason) {
	upstreams := r.gateway.Directory.OfService(r.service)
	list = make([]*fleet.State, 0, len(upstreams))
	now := time.Now()
	best := unusable
	for _, state := range upstreams {
		found := r.suitability(state, now)
		if found == suitable {
			list = append(list, state)
		}
		best = max(best, found)
	}
	return list, r.lacking(best)
}

func (r *inflight) suitability(state *fleet.State, now time.Time) suitability {
	switch {
	case !state.Usable(now), slices.Contains(r.attempts.upstreams, state.ID):
		return unusable
	case r.need.Model != "" && !state.Holds(r.need.Model):
		return lacksModel
	case r.need.Model != "" && !state.HoldsAdapter(r.need.Model, r.need.Adapter):
		return lacksAdapter
	case r.gateway.Directory.Unavailable(state.ID, r.need.Model, r.need.Adapter):
		return unreachable
	}
	return suitable
}

// lacking names what the service lacks by its best upstream; empty if that is a candidate.
func (r *inflight) lacking(best suitability) reason {
	switch {
	case best == suitable:
		return ""
	case best == unusable, r.need.Model == "":
		return reasonNoUpstream
	case best == lacksModel:
		return reasonNoModel
	case best == lacksAdapter:
		return reasonNoAdapter
	}
	return reasonUnreachable
}
