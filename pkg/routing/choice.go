package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

const (
	// prefixGain is the wait that a prompt cached in whole is worth.
	prefixGain = 150 * time.Millisecond
	// nearlyEqual is the difference of costs below which the choice is random; less than the 5 ms to
	// another hall.
	nearlyEqual = time.Millisecond
	// staleReport is the age from which a report is not used any more: while the platform is away, one
	// from a rush would have all later requests refused.
	staleReport = 10 * time.Second
)

// ErrNoUpstream is returned where no upstream that holds what is needed can be reached.
const ErrNoUpstream = errors.ConstError("no upstream holds the model at the moment: try again later")

// Candidate is an upstream that could take a request.
type Candidate struct {
	ID string
	// Distance is the extra time to reach it, as for another hall.
	Distance time.Duration
	// Slots is how many requests it runs at once at full speed.
	Slots int
	// Running and Queued are the requests there by its latest report.
	Running int
	Queued  int
	// Reported is when that report was made.
	Reported time.Time
	// PeersSent is how many requests other boxes have sent there since.
	PeersSent int
	// Boxes is how many boxes send there, this one included; 0 means 1.
	Boxes int
}

// Choice is an upstream with the wait that is expected there.
type Choice struct {
	ID string
	// Wait until a slot is free, with the distance.
	Wait time.Duration
}

// Pick chooses the candidate with the least cost for a request on a model: the expected wait, less
// what its cached prefix is worth. Upstreams that failed lately are used only if no other is left.
// It returns ErrNoUpstream if there is no candidate.
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
func (r *Router) cheapest(model string, cached map[string]float64, candidates []Candidate, avoidedToo bool) (Choice, bool) {
	var best Choice
	bestCost := time.Duration(math.MaxInt64)
	ties := 0
	for _, candidate := range candidates {
		if !avoidedToo && r.avoided(candidate.ID) {
			continue
		}
		wait := r.wait(model, candidate)
		cost := wait - time.Duration(cached[candidate.ID]*float64(prefixGain))
		switch {
		case cost < bestCost-nearlyEqual:
			ties = 1
		case cost > bestCost+nearlyEqual:
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

// wait estimates how long a request that is sent now waits for a slot: the requests beyond the
// slots, this one included, by the slots, times the mean time in a slot.
func (r *Router) wait(model string, candidate Candidate) time.Duration {
	slots := max(1, candidate.Slots)
	excess := r.ahead(candidate) + 1 - slots
	if excess <= 0 {
		return candidate.Distance
	}
	return candidate.Distance + time.Duration(float64(excess)/float64(slots)*float64(r.service(model)))
}

// ahead estimates the requests at a candidate: those of the report and those sent since, by all
// boxes. Where the report is stale, the other boxes are taken to be as busy there as this one.
func (r *Router) ahead(candidate Candidate) int {
	inFlight := r.record(candidate.ID).inFlight
	sent := candidate.PeersSent + r.sentSince(candidate.ID, candidate.Reported)
	ahead := candidate.Running + candidate.Queued + sent
	if time.Since(candidate.Reported) > staleReport {
		ahead = inFlight * max(1, candidate.Boxes)
	}
	return max(ahead, inFlight)
}
