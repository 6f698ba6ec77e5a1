package dispatch

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// The prediction goes by the times of an engine that runs a model of 70 billion parameters. How far
// the model and the upstream are from that is learned as a factor.
const (
	// prefillTokensPerMillisecond is how fast an engine reads prompts.
	prefillTokensPerMillisecond = 38.0
	// stepTime is the time of one decoding step, and stepTimePerRunning what each running request
	// adds to it.
	stepTime           = 5 * time.Millisecond
	stepTimePerRunning = 20 * time.Microsecond
	// prefillDelayPerRunning is the time by which each running request holds up the prompts.
	prefillDelayPerRunning = time.Millisecond
	// answerTokenTime is the engine time of one token of an answer, which shares its step with
	// those of other requests.
	answerTokenTime = 150 * time.Microsecond
)

const (
	// fullPenalty is added where no slot or not enough memory is free.
	fullPenalty = 400 * time.Millisecond
	// otherHallPenalty is added for the way to an upstream of another hall.
	otherHallPenalty = 2 * time.Millisecond
	// memoryFullShare is the share of an engine's memory from which it counts as full.
	memoryFullShare = 0.92
)

// Requirements is what a request needs of an upstream.
type Requirements struct {
	Service string
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// Blocks are the prefixes of the prompt, shortest first.
	Blocks       []PrefixBlock
	PromptTokens int
	// AnswerTokens is the expected length of the answer, or the longest one that is allowed.
	AnswerTokens int
	// Urgency of the request; 0 is the most urgent.
	Urgency int
	// CacheTokens is an engine's memory for prompts and answers, in tokens; 0 is unknown.
	CacheTokens int
	// GapTarget is the longest pause between two events that is in time; 0 sets no target.
	GapTarget time.Duration
	// EventTokens is how many tokens one event holds.
	EventTokens int
}

// Choice is an upstream with what is expected there.
type Choice struct {
	Upstream *fleet.State
	// Wait is the predicted time to the first token, or to the begin of a plain service's answer.
	Wait time.Duration
	// Pause is the predicted pause between two events of the streams that run there, while the engine
	// reads the request's prompt and those ahead of it; 0 if none runs.
	Pause time.Duration
	// read is how long the engine reads the request's prompt, and event how long it makes one event of each stream beside
	// it; 0 for plain services.
	read, event time.Duration
	// pauseShare is the engine's.
	pauseShare pauseShare
	// work is the part of Wait that is the upstream's own: without penalties and the wait for a slot.
	work time.Duration
	// Uncached is the prompt tokens that the engine has to read; 0 for plain services.
	Uncached int
	// Load of the upstream from all boxes that the prediction went by.
	Load Load
}

// predict predicts the time to the first token at an engine:
//
//	((ahead + uncached prompt) / prefill speed + running * delay) * model factor + step
//
// times the upstream's factor, and with the penalties of a full upstream and of another hall. The
// caller holds the tracker's lock.
func (c *Chooser) predict(need Requirements, upstream *fleet.State, record *upstreamRecord) Choice {
	load := c.Loads.total(upstream.ID, record)
	record.cacheCapacity = prefixCacheCapacity(need.CacheTokens)
	choice := Choice{Upstream: upstream, Load: load, pauseShare: record.pauseShare}
	choice.Uncached = max(1, need.PromptTokens-record.cache.cachedTokens(need.Blocks))
	choice.Pause = c.Loads.enginePause(need, load, choice.Uncached)
	factor := record.factor * c.Loads.modelFactor(need.Model)
	choice.read = scale(prefillTime(choice.Uncached), factor)
	choice.event = scale(eventTime(need, load), factor)
	choice.work = scale(c.Loads.engineWait(need, load, choice.Uncached), record.factor)
	choice.Wait = choice.work + slotWait(load, upstream.Slots, record.runTime)
	if memoryFull(need, load) {
		choice.Wait += fullPenalty
	}
	if upstream.Hall != c.Hall {
		choice.Wait += otherHallPenalty
	}
	return choice
}

func (t *LoadTracker) engineWait(need Requirements, load Load, uncached int) time.Duration {
	work := prefillTime(load.prefillAhead(need.Urgency) + uncached)
	work += time.Duration(load.Running) * prefillDelayPerRunning
	step := stepTime + time.Duration(load.Running)*stepTimePerRunning
	return scale(work, t.modelFactor(need.Model)) + step
}

// slotWait is the time until a slot is free at an engine, where a request leaves every runTime / slots.
// Refusing by it, and not by a fixed penalty, keeps requests from queues that are longer than their target.
func slotWait(load Load, slots int, runTime time.Duration) time.Duration {
	if slots == 0 || load.Running < slots {
		return 0
	}
	if runTime == 0 {
		return fullPenalty
	}
	return scale(runTime, float64(load.Running-slots+1)/float64(slots))
}

// enginePause predicts the pause of the streams that run at an engine: an event takes a step for each of
// its tokens, and prompts are read in between, however urgent they are.
func (t *LoadTracker) enginePause(need Requirements, load Load, uncached int) time.Duration {
	if load.Running == 0 {
		return 0
	}
	prompts := load.prefillAhead(UrgencyLevels) + uncached
	return scale(prefillTime(prompts)+eventTime(need, load), t.modelFactor(need.Model))
}

// eventTime is how long an engine takes to make one event of each stream, without the prompts that it reads in between.
func eventTime(need Requirements, load Load) time.Duration {
	step := stepTime + time.Duration(load.Running)*stepTimePerRunning
	return time.Duration(max(1, need.EventTokens)) * step
}

// memoryFull reports whether the request has probably no room in an engine's memory beside those
// that run there.
func memoryFull(need Requirements, load Load) bool {
	taken := load.Tokens + need.PromptTokens + need.AnswerTokens
	return need.CacheTokens > 0 && float64(taken) > memoryFullShare*float64(need.CacheTokens)
}

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMillisecond * float64(time.Millisecond))
}

// Work estimates the engine time that a request costs, which is the demand that placement goes by.
func (t *LoadTracker) Work(need Requirements, uncached int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := prefillTime(uncached) + time.Duration(need.AnswerTokens)*answerTokenTime
	return scale(work, t.modelFactor(need.Model))
}
