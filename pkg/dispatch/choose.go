package dispatch

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// Requirements is what a request asks of a back end.
type Requirements struct {
	Service string
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// Blocks are the beginnings of the prompt.
	Blocks       []PrefixBlock
	PromptTokens int
	AnswerTokens int
	// Urgency ranks the request; 0 is the most urgent.
	Urgency int
	// CacheTokens is an engine's memory for prompts and answers.
	CacheTokens int
}

// Choice is a back end with what is expected there.
type Choice struct {
	Upstream *fleet.State
	// Wait is the predicted time to the first token, or to the answer's begin.
	Wait time.Duration
	// Uncached is the prompt tokens that the engine has to read.
	Uncached int
	// Load of the back end as it was known.
	Load Load
}

// Times that the prediction goes by: those of an engine of 70 billion parameters. What an
// engine really takes is learned as a factor.
const (
	prefillTokensPerMillisecond = 38.0
	stepTime                    = 5 * time.Millisecond
	stepTimePerRunning          = 20 * time.Microsecond
	// farPenalty is the extra time of another zone.
	farPenalty = 2 * time.Millisecond
	// fullPenalty is the wait expected where no place or memory is free.
	fullPenalty = 400 * time.Millisecond
	// tokenTime is the time that a running request takes from the prompts that are read.
	tokenTime = time.Millisecond
	// homeBonus is the part of an uncached prompt's time by which the engine is preferred that
	// all processes agree on, so that prompts that share a beginning meet on one engine.
	homeBonus = 0.2
	// jitterTime spreads choices among back ends that are about equal.
	jitterTime = 2 * time.Millisecond
	// memoryFull is the share of an engine's memory from which it is taken to be full.
	memoryFull = 0.92
	// failurePenalty is the time that a certain failure is worth.
	failurePenalty = 400 * time.Millisecond
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

func (c *Chooser) predict(need Requirements, state *fleet.State, entry *backendBook) Choice {
	load := c.Loads.total(state.ID, entry)
	choice := Choice{Upstream: state, Load: load}
	full := false
	if need.Model == "" {
		full = state.Slots > 0 && load.Running >= state.Slots
		perSlot := float64(load.Running) / float64(max(1, state.Slots))
		choice.Wait = time.Duration(perSlot * perSlot * float64(plainWait))
	} else {
		full = c.predictEngine(need, state, entry, load, &choice)
	}
	choice.Wait = time.Duration(float64(choice.Wait) * entry.slowness)
	if full {
		choice.Wait += fullPenalty
	}
	if state.Hall != c.Hall {
		choice.Wait += farPenalty
	}
	return choice
}

// plainWait is the wait expected at a plain service whose places are all taken.
const plainWait = 60 * time.Millisecond

func (c *Chooser) predictEngine(need Requirements, state *fleet.State, entry *backendBook, load Load, choice *Choice) (full bool) {
	entry.capacity = int(keptShare * float64(need.CacheTokens))
	kept := 0
	if entry.cache != nil {
		kept = entry.cache.kept(need.Blocks)
	}
	choice.Uncached = max(1, need.PromptTokens-kept)
	work := prefillTime(load.ahead(need.Urgency) + choice.Uncached)
	work += time.Duration(load.Running) * tokenTime
	step := stepTime + time.Duration(load.Running)*stepTimePerRunning
	choice.Wait = time.Duration(c.Loads.paceOf(need.Model)*float64(work)) + step
	memory := load.Tokens + need.PromptTokens + need.AnswerTokens
	return (state.Slots > 0 && load.Running >= state.Slots) ||
		(need.CacheTokens > 0 && float64(memory) > memoryFull*float64(need.CacheTokens))
}

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMillisecond * float64(time.Millisecond))
}

// usualFailures is the middle share of failures of the candidates. The caller holds the lock.
func (b *LoadTracker) usualFailures(candidates []*fleet.State) float64 {
	least, sum := 1.0, 0.0
	for _, state := range candidates {
		failures := b.of(state.ID).health.failures
		least = min(least, failures)
		sum += failures
	}
	// Between the best and the mean, so that one bad back end of a few does not hide itself.
	return (least + sum/float64(len(candidates))) / 2
}

// homeOf is the candidate that all processes prefer for a prompt that no engine keeps.
func homeOf(need Requirements, candidates []*fleet.State) string {
	if len(need.Blocks) < 2 {
		return ""
	}
	// The last part is the request's own.
	key := need.Blocks[len(need.Blocks)-2].Key
	var home string
	var highest uint64
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], key)
	for _, state := range candidates {
		digest := xxhash.New()
		_, _ = digest.Write(buffer[:])
		_, _ = digest.WriteString(state.ID)
		if rank := digest.Sum64(); home == "" || rank > highest {
			home, highest = state.ID, rank
		}
	}
	return home
}
