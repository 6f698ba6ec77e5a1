package dispatch

import (
	"math/rand/v2"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

const (
	// preferenceBonus is the fraction of the uncached prompt's prefill time that is subtracted from the
	// preferred engine's score.
	preferenceBonus = 0.2
	// jitter bounds the random time that is added to each score. It spreads requests over upstreams with
	// about the same score.
	jitter = 2 * time.Millisecond
	// crowdedShare is the fraction of the gap target above which an engine's predicted pause counts as
	// crowded. The rest is a margin for prompts of other boxes that were not reported to this box yet.
	crowdedShare = 0.7
	// queuePenalty is the fraction of the gap target that is added for queuing at an engine with the smallest
	// pauseShare.
	queuePenalty = 0.3
	// busyPenalty is added for an engine that is loading or unloading a model.
	busyPenalty = 2 * time.Millisecond
	// failurePenalty is multiplied by the excess of the upstream's failure rate over the baseline.
	failurePenalty = 400 * time.Millisecond
)

// Chooser chooses upstreams by the loads in its tracker.
type Chooser struct {
	Loads *LoadTracker
	// Hall is the hall of this box.
	Hall string
}

// scoredCandidate is a candidate with its score. A lower score is better.
type scoredCandidate struct {
	choice  Choice
	score   time.Duration
	ejected bool
}

// Choose returns the engine with the best score, or a random upstream of a plain service, weighted by load.
// Ejected candidates are chosen only if there are no others. It reports false if there are no candidates.
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
	baseline := c.Loads.baselineFailureRate(candidates)
	preferred := preferredEngine(need, candidates)
	var best scoredCandidate
	for i, upstream := range candidates {
		record := c.Loads.record(upstream.ID)
		next := scoredCandidate{ejected: record.ejection.ejectIfOutlier(baseline, now)}
		next.choice = c.predict(need, upstream, record)
		next.score = score(&next.choice, record, baseline, upstream.ID == preferred, need)
		if i == 0 || next.better(&best) {
			best = next
		}
	}
	return best.choice, true
}

// Crowded reports whether the predicted pause of the running streams exceeds crowdedShare of the gap target.
func (c *Choice) Crowded(need Requirements) bool {
	return need.GapTarget > 0 && c.Pause > scale(need.GapTarget, crowdedShare)
}

func (r *scoredCandidate) better(other *scoredCandidate) bool {
	if r.ejected != other.ejected {
		return !r.ejected
	}
	return r.score < other.score
}

// PausesStreams reports whether this request's prompt alone would probably make the running streams pause
// for longer than the engine's share of the gap target.
func (c *Choice) PausesStreams(need Requirements) bool {
	return need.GapTarget > 0 && c.Load.Running > 0 && c.prefillTime+c.eventTime > scale(need.GapTarget, float64(c.pauseShare))
}

// QueuePenalty returns what is added to the score of an engine that would prefill the prompt together with others:
// the more, the more often streams paused for too long there.
func (c *Choice) QueuePenalty(need Requirements) time.Duration {
	if c.PausesStreams(need) {
		return need.GapTarget
	}
	return scale(need.GapTarget, queuePenalty*float64(maxPauseShare-c.pauseShare)/(maxPauseShare-minPauseShare))
}

// score returns the predicted wait plus penalties and minus bonuses.
func score(choice *Choice, record *upstreamRecord, baseline float64, preferred bool, need Requirements) time.Duration {
	score := choice.Wait + rand.N(jitter)
	if excess := record.ejection.failureRate - baseline; excess > 0 {
		score += scale(failurePenalty, excess)
	}
	if choice.PausesStreams(need) {
		score += need.GapTarget
	}
	if preferred {
		score -= scale(choice.prefillTime, preferenceBonus)
	}
	if choice.Upstream.Busy() {
		score += busyPenalty
	}
	return score
}
