package dispatch

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// Work estimates the engine time that a request costs.
func (b *LoadTracker) Work(need Requirements, uncached int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	work := prefillTime(uncached) + time.Duration(need.AnswerTokens)*answerTokenTime
	return time.Duration(float64(work) * b.paceOf(need.Model))
}

// answerTokenTime is the engine time of one token of an answer, which shares its step with
// those of other requests.
const answerTokenTime = 150 * time.Microsecond

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
