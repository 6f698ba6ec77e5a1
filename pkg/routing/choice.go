package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

const (
	// prefixBonus is the wait that a completely cached prompt is worth.
	prefixBonus = 150 * time.Millisecond
	// costTolerance is the difference of costs below which the choice is random. It is less than the
	// 5 ms to another hall.
	costTolerance = time.Millisecond
	// maxReportAge is the age beyond which a report is not used any more. While the platform is
	// unreachable, a report from a load peak would have all later requests refused.
	maxReportAge = 10 * time.Second
)

// ErrNoUpstream is returned if no upstream that holds what is needed can be reached.
const ErrNoUpstream = errors.ConstError("no upstream holds the model at the moment: try again later")

// Candidate is an upstream that could take a request.
type Candidate struct {
	ID string
	// Distance is the extra time to reach it, for example in another hall.
	Distance time.Duration
	// Slots is how many requests it runs at once at full speed.
	Slots int
	// Running and Queued are the requests there according to its latest report.
	Running int
	Queued  int
	// Reported is when that report was made.
	Reported time.Time
	// PeersSent is how many requests other boxes have sent there since that report.
	PeersSent int
	// Boxes is how many boxes send there, this one included; 0 means 1.
	Boxes int
}

// Choice is an upstream with the expected wait there.
type Choice struct {
	ID string
	// Wait is the time until a slot is free, including the distance.
	Wait time.Duration
}

// Pick chooses the candidate with the least cost for a request on a model: the expected wait, minus
// what its cached prefix is worth. Upstreams that failed recently are used only if no other is left. It
// returns ErrNoUpstream if there is no candidate.
func (r *Router) Pick(model, prompt string, candidates []Candidate) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.prefixes.cachedShares(model, prompt)
	choice, ok := r.cheapest(model, cached, candidates, false)
	if !ok {
		choice, ok = r.cheapest(model, cached, candidates, true)
	}
	if !ok {
		return Choice{}, errors.Annotatef(ErrNoUpstream, "model %s", model)
	}
	return choice, nil
}

// cheapest picks at random among the candidates of about the least cost, so that boxes with the
// same reports do not all pick the same one.
func (r *Router) cheapest(model string, cached map[string]float64, candidates []Candidate, includeAvoided bool) (Choice, bool) {
	var best Choice
	bestCost := time.Duration(math.MaxInt64)
	ties := 0
	for _, candidate := range candidates {
		if !includeAvoided && r.avoided(candidate.ID) {
			continue
		}
		wait := r.expectedWait(model, candidate)
		cost := wait - time.Duration(cached[candidate.ID]*float64(prefixBonus))
		switch {
		case cost < bestCost-costTolerance:
			ties = 1
		case cost > bestCost+costTolerance:
			continue
		default:
			ties++
			if rand.IntN(ties) != 0 {
				continue
			}
		}
		best, bestCost = Choice{ID: candidate.ID, Wait: wait}, cost
	}
	return best, ties > 0
}

// expectedWait estimates how long a request that is sent now waits for a slot: the number of requests
// beyond the slots, this one included, divided by the slots, times the mean time in a slot. The
// distance is added.
func (r *Router) expectedWait(model string, candidate Candidate) time.Duration {
	slots := max(1, candidate.Slots)
	excess := r.requestsAt(candidate) + 1 - slots
	if excess <= 0 {
		return candidate.Distance
	}
	return candidate.Distance + time.Duration(float64(excess)/float64(slots)*float64(r.meanSlotTime(model)))
}

// requestsAt estimates the number of requests at a candidate: those of the report and those that all
// boxes sent since, without this box's that ended since. A report of another hall comes every few seconds, in
// which many short requests are sent and end. If the report is stale, each other box is assumed to have as many
// in flight there as this one.
func (r *Router) requestsAt(candidate Candidate) int {
	inFlight := r.record(candidate.ID).inFlight
	ahead := candidate.Running + candidate.Queued + candidate.PeersSent + r.changeSince(candidate.ID, candidate.Reported)
	if time.Since(candidate.Reported) > maxReportAge {
		ahead = inFlight * max(1, candidate.Boxes)
	}
	return max(ahead, inFlight)
}
