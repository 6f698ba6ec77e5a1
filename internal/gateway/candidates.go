package gateway

import (
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// suitability grades an upstream by how much of a request's needs it meets. Each level includes the ones before it.
type suitability int

const (
	// unusable upstreams are leaving, have lapsed or were already tried by the request.
	unusable suitability = iota
	// otherVersion upstreams run another version of their software than the one that began the stream.
	otherVersion
	// outsideRegions upstreams are in a region where the request may not be served.
	outsideRegions
	// evacuated upstreams are in a hall that gets nothing new until its evacuation ends.
	evacuated
	lacksModel
	lacksAdapter
	// unreachable upstreams hold all that is needed, but a moment ago they accepted no connection or rejected such
	// a request.
	unreachable
	// throttled upstreams hold all that is needed, but may not get the request now: they asked this box for a
	// backoff, or are cold or rate-limited and may get no more requests for a moment.
	throttled
	suitable
)

// candidates returns the upstreams of the service that may get the request now, those in halls out of reach only if
// there are no others. If there are none, lacking is what the most suitable upstream lacks.
//
// It reads this box's directory: the platform's list, the order holder's reports and what upstreams answered lately.
// Where that is out of date, an attempt is sent that its upstream does not execute.
func (r *inflight) candidates() (list []*fleet.State, lacking reason) {
	now := time.Now()
	r.throttledUpstreams = throttledUpstreams{}
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
		case throttled:
			continue // bestLevel counts them.
		}
		best = max(best, found)
	}
	if best < lacksModel && r.need.Model != "" {
		best = max(best, r.bestLackingModel(now))
	}
	return r.gateway.withinReach(list), r.lackingReason(r.throttledUpstreams.bestLevel(best))
}

// bestLackingModel returns the suitability of the best engine among those that do not hold the model. candidates
// calls it when the engines that hold the model are no more suitable than these can be.
func (r *inflight) bestLackingModel(now time.Time) suitability {
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

// throttledUpstreams are the upstreams that hold all that a request needs but may not get it now: they asked this
// box for a backoff, or are cold or rate-limited.
type throttledUpstreams struct {
	ids []string
	// cold and limited count those that may get no more requests for a moment because they are cold or name a
	// rate limit. The others asked for a backoff.
	cold, limited int
	// earliestEnd is when the first of them may get requests again. It may be in the past for an upstream that
	// takes only a few requests at a time after its backoff.
	earliestEnd time.Time
}

func (t *throttledUpstreams) add(upstream string, until time.Time) {
	if len(t.ids) == 0 || until.Before(t.earliestEnd) {
		t.earliestEnd = until
	}
	t.ids = append(t.ids, upstream)
}

// countRateBound counts an upstream that may get no more requests for a moment.
func (t *throttledUpstreams) countRateBound(bound fleet.RateBound) {
	if bound.Cold {
		t.cold++
		return
	}
	t.limited++
}

// bestLevel returns the suitability of the best upstream, given best among those that are not throttled. An
// upstream that lacks only an adapter is preferred to a throttled one: loading the adapter takes some 10 ms, a
// backoff seconds. When 5 of 18 engines asked for a backoff, the opposite order left 8 requests in 6 s without an
// adapter that other engines could have loaded.
func (t *throttledUpstreams) bestLevel(best suitability) suitability {
	if len(t.ids) == 0 || best == lacksAdapter {
		return best
	}
	return max(best, throttled)
}

// suitability returns the suitability of one upstream, and adds one that is throttled to throttledUpstreams.
func (r *inflight) suitability(state *fleet.State, now time.Time) suitability {
	switch {
	case !state.Usable(now), slices.Contains(r.attempts.upstreams, state.ID):
		return unusable
	case r.runsOtherVersion(state):
		return otherVersion
	case !r.mayServe(state.Hall):
		return outsideRegions
	case state.Evacuated:
		return evacuated
	case r.need.Model != "" && !state.Holds(r.need.Model):
		return lacksModel
	case r.need.Model != "" && !state.HoldsAdapter(r.need.Model, r.need.Adapter):
		return lacksAdapter
	case r.gateway.Directory.Unavailable(state.ID, r.need.Model, r.need.Adapter):
		return unreachable
	}
	if until, inBackoff := r.gateway.Directory.InBackoff(state.ID); inBackoff {
		r.throttledUpstreams.add(state.ID, until)
		return throttled
	}
	if bound, until := r.rateBound(state.ID, now); !until.IsZero() {
		r.throttledUpstreams.add(state.ID, until)
		r.throttledUpstreams.countRateBound(bound)
		return throttled
	}
	return suitable
}

// lackingReason returns the reason for what the best upstream lacks; empty if that upstream is a candidate.
func (r *inflight) lackingReason(best suitability) reason {
	switch {
	case best == suitable:
		return ""
	case best == throttled && r.throttledUpstreams.cold == len(r.throttledUpstreams.ids):
		return reasonCold
	case best == throttled && r.throttledUpstreams.limited == len(r.throttledUpstreams.ids):
		return reasonLimited
	case best == throttled:
		return reasonBackoff
	case best == otherVersion:
		return reasonOtherVersion
	case best == outsideRegions:
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
