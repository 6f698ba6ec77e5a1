package dispatch

import (
	"math/rand/v2"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

const (
	// preferenceBonus is the part of the uncached prompt's time by which the preferred engine is
	// ahead of the others.
	preferenceBonus = 0.2
	// jitter spreads choices among upstreams that are about equal.
	jitter = 2 * time.Millisecond
	// crowdedShare is the part of the longest pause in time from which an engine counts as crowded, since
	// other boxes send prompts that this one does not know of yet.
	crowdedShare = 0.7
	// busyPenalty is for an engine that loads or unloads a model.
	busyPenalty = 2 * time.Millisecond
	// failurePenalty is the time that a share of failures of 1 above the usual one counts for.
	failurePenalty = 400 * time.Millisecond
)

// Chooser chooses upstreams by the loads of its tracker.
type Chooser struct {
	Loads *LoadTracker
	// Hall of this box.
	Hall string
}

// rated is a candidate with its score: the lower, the better.
type rated struct {
	choice  Choice
	score   time.Duration
	ejected bool
}

// Choose returns the engine with the best score, or draws one of a plain service's upstreams. Ejected candidates are taken
// only if there are no others. It reports false if there is no candidate.
func (c *Chooser) Choose(need Requirements, candidates []*fleet.State) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	c.Loads.mu.Lock()
	defer c.Loads.mu.Unlock()
	now := time.Now()
	if need.Model == "" {
		return c.chooseService(candidates, now), true
	}
	usual := c.Loads.usualFailureShare(candidates)
	preferred := preferredEngine(need, candidates)
	var best rated
	for i, upstream := range candidates {
		record := c.Loads.record(upstream.ID)
		next := rated{ejected: record.ejection.ejected(usual, now)}
		next.choice = c.predict(need, upstream, record)
		next.score = score(&next.choice, record, usual, upstream.ID == preferred, need)
		if i == 0 || next.better(&best) {
			best = next
		}
	}
	return best.choice, true
}

// Crowded reports whether the streams that run there would have too long a pause.
func (c *Choice) Crowded(need Requirements) bool {
	return need.GapTarget > 0 && c.Pause > scale(need.GapTarget, crowdedShare)
}

func (r *rated) better(other *rated) bool {
	if r.ejected != other.ejected {
		return !r.ejected
	}
	return r.score < other.score
}

// PausesStreams reports whether the request's prompt alone probably has the streams that run there pause for too long.
func (c *Choice) PausesStreams(need Requirements) bool {
	return need.GapTarget > 0 && c.Load.Running > 0 && c.read+c.event > scale(need.GapTarget, float64(c.pauseShare))
}

// score is the predicted wait, corrected by what makes the upstream a better or worse choice.
func score(choice *Choice, record *upstreamRecord, usual float64, preferred bool, need Requirements) time.Duration {
	score := choice.Wait + rand.N(jitter)
	if excess := record.ejection.failureShare - usual; excess > 0 {
		score += scale(failurePenalty, excess)
	}
	if choice.PausesStreams(need) {
		score += need.GapTarget
	}
	if preferred {
		score -= scale(prefillTime(choice.Uncached), preferenceBonus)
	}
	if choice.Upstream.Busy() {
		score += busyPenalty
	}
	return score
}
