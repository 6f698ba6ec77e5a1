package dispatch

import (
	"math/rand/v2"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// Chooser picks back ends by the book's loads.
type Chooser struct {
	Loads *LoadTracker
	// Hall of this process.
	Hall string
}

// Choose returns the best of the candidates; ok is false if there is none. Back ends that fail
// a lot are taken only if there are no others.
func (c *Chooser) Choose(need Requirements, candidates []*fleet.State) (best Choice, ok bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	c.Loads.mu.Lock()
	defer c.Loads.mu.Unlock()
	now := time.Now()
	usual := c.Loads.usualFailures(candidates)
	home := homeOf(need, candidates)
	bestScore := time.Duration(0)
	bestEjected := false
	for _, state := range candidates {
		entry := c.Loads.of(state.ID)
		ejected := entry.health.ejected(usual, now)
		choice := c.predict(need, state, entry)
		score := c.score(choice, entry, state.ID == home, usual)
		better := !ok || (bestEjected && !ejected) || (bestEjected == ejected && score < bestScore)
		if better {
			best, bestScore, bestEjected, ok = choice, score, ejected, true
		}
	}
	return best, ok
}

func (c *Chooser) score(choice Choice, entry *backendBook, home bool, usual float64) time.Duration {
	score := choice.Wait + rand.N(jitterTime)
	if over := entry.health.failures - usual; over > 0 {
		score += time.Duration(over * float64(failurePenalty))
	}
	if home {
		score -= time.Duration(homeBonus * float64(prefillTime(choice.Uncached)))
	}
	if choice.Upstream.Busy() {
		score += farPenalty
	}
	return score
}
