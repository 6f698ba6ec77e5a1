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
	// elsewhere are upstreams in a region where the request may not be served.
	elsewhere
	// evacuated upstreams are in a hall that gets nothing new until its evacuation ends.
	evacuated
	lacksModel
	lacksAdapter
	// unreachable upstreams have all that is needed, but took no connection or turned such a
	// request down a moment ago.
	unreachable
	// resting upstreams have all that is needed, and asked this box for rest, or are cold or limited and may get no more now.
	resting
	suitable
)

// candidates returns the upstreams of the service that may get the request now. If there is none,
// lacking is what the one that comes closest lacks.
//
// It reads the directory as this box has it: the platform's list, the reports of the order holder and
// what upstreams answered lately. A miss of that knowledge costs an attempt that is not executed.
func (r *inflight) candidates() (list []*fleet.State, lacking reason) {
	now := time.Now()
	r.rests = rests{}
	var holders []*fleet.State
	if r.need.Model != "" {
		holders = r.gateway.Directory.Holders(r.service, r.need.Model)
	} else {
		holders = r.gateway.Directory.OfService(r.service)
	}
	list = make([]*fleet.State, 0, len(holders))
	best := unusable
	for _, state := range holders {
		found := r.suitability(state, now)
		switch found {
		case suitable:
			list = append(list, state)
		case resting:
			continue // better counts them.
		}
		best = max(best, found)
	}
	if best < lacksModel && r.need.Model != "" {
		best = max(best, r.bestWithout(now))
	}
	return list, r.lacking(r.rests.better(best))
}

// bestWithout is how suitable the best engine is, of which those that hold the model are no better than it.
func (r *inflight) bestWithout(now time.Time) suitability {
	best := unusable
	for _, state := range r.gateway.Directory.OfService(r.service) {
		if state.Holds(r.need.Model) {
			continue
		}
		if best = max(best, r.suitability(state, now)); best == lacksModel {
			break
		}
	}
	return best
}

// rests are the upstreams that have all that a request needs and asked this box for rest.
type rests struct {
	upstreams []string
	// cold and limited count those of them that get no more for a moment, as they are cold or name a limit.
	cold, limited int
	// soonest is when the first of them may be sent requests again; it may have passed where one takes few at a time.
	soonest time.Time
}

func (l *rests) add(upstream string, until time.Time) {
	if len(l.upstreams) == 0 || until.Before(l.soonest) {
		l.soonest = until
	}
	l.upstreams = append(l.upstreams, upstream)
}

// countBound counts an upstream that gets no more for a moment.
func (l *rests) countBound(bound fleet.RateBound) {
	if bound.Cold {
		l.cold++
		return
	}
	l.limited++
}

// better is how suitable the best upstream is, with those that rest. One that lacks an adapter alone goes before them: its load takes some
// 10 ms, a rest seconds. Five of 18 engines that rested left 8 requests in 6 s without an adapter that others could have loaded.
func (l *rests) better(best suitability) suitability {
	if len(l.upstreams) == 0 || best == lacksAdapter {
		return best
	}
	return max(best, resting)
}

// suitability is that of one upstream; one that rests is added to rests.
func (r *inflight) suitability(state *fleet.State, now time.Time) suitability {
	switch {
	case !state.Usable(now), slices.Contains(r.attempts.upstreams, state.ID):
		return unusable
	case !r.mayServe(state.Hall):
		return elsewhere
	case state.Evacuated:
		return evacuated
	case r.need.Model != "" && !state.Holds(r.need.Model):
		return lacksModel
	case r.need.Model != "" && !state.HoldsAdapter(r.need.Model, r.need.Adapter):
		return lacksAdapter
	case r.gateway.Directory.Unavailable(state.ID, r.need.Model, r.need.Adapter):
		return unreachable
	}
	if until, isResting := r.gateway.Directory.Resting(state.ID); isResting {
		r.rests.add(state.ID, until)
		return resting
	}
	if bound, until := r.rateBound(state.ID, now); !until.IsZero() {
		r.rests.add(state.ID, until)
		r.rests.countBound(bound)
		return resting
	}
	return suitable
}

// lacking names what the service lacks by its best upstream; empty if that is a candidate.
func (r *inflight) lacking(best suitability) reason {
	switch {
	case best == suitable:
		return ""
	case best == resting && r.rests.cold == len(r.rests.upstreams):
		return reasonCold
	case best == resting && r.rests.limited == len(r.rests.upstreams):
		return reasonLimited
	case best == resting:
		return reasonResting
	case best == elsewhere:
		return reasonRegion
	case best == evacuated:
		return reasonEvacuated
	case best == unusable, r.need.Model == "":
		return reasonNoUpstream
	case best == lacksModel:
		return reasonNoModel
	case best == lacksAdapter:
		return reasonNoAdapter
	}
	return reasonUnreachable
}
