package dispatch

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// Predictions start from the timings of an engine that runs a model of 70 billion parameters. Learned
// paces and factors correct them for other models and upstreams.
const (
	// prefillTokensPerMillisecond is the prefill speed of an engine.
	prefillTokensPerMillisecond = 38.0
	// stepTime is the duration of one decoding step. Each running request adds stepTimePerRunning.
	stepTime           = 5 * time.Millisecond
	stepTimePerRunning = 20 * time.Microsecond
	// prefillDelayPerRunning is the delay that each running request adds to prefill.
	prefillDelayPerRunning = time.Millisecond
	// answerTokenTime is the engine time of one response token, which shares its decoding step with other
	// requests.
	answerTokenTime = 150 * time.Microsecond
)

const (
	// fullPenalty is added where there is not enough free memory, or no free slot and no known run time.
	fullPenalty = 400 * time.Millisecond
	// otherHallPenalty is added for the network latency to an upstream of another hall.
	otherHallPenalty = 2 * time.Millisecond
	// memoryFullShare is the fraction of an engine's memory above which it counts as full.
	memoryFullShare = 0.92
)

// Requirements are what a request needs of an upstream.
type Requirements struct {
	Service string
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// Blocks are the prefixes of the prompt, shortest first.
	Blocks       []PrefixBlock
	PromptTokens int
	// AnswerTokens is the expected length of the response, or its limit.
	AnswerTokens int
	// Urgency of the request; 0 is the most urgent.
	Urgency int
	// CacheTokens is an engine's memory for prompts and responses, in tokens; 0 means unknown.
	CacheTokens int
	// GapTarget is the longest acceptable pause between two events of a stream; 0 means no target.
	GapTarget time.Duration
	// EventTokens is the number of tokens in one event.
	EventTokens int
}

// Choice is a chosen upstream with the predictions for it.
type Choice struct {
	Upstream *fleet.State
	// Wait is the predicted time to the first token, or to the start of a plain service's response.
	Wait time.Duration
	// Pause is the predicted pause between two events of the streams that run there, while the engine
	// prefills the request's prompt and those ahead of it; 0 if none runs.
	Pause time.Duration
	// prefillTime is the time to prefill the request's prompt, and eventTime the time to decode one event of
	// each running stream; both are 0 for plain services.
	prefillTime, eventTime time.Duration
	// factor of the engine and pace of the model are the learned corrections that the prediction includes.
	factor, pace float64
	// pauseShare is the engine's current pauseShare.
	pauseShare pauseShare
	// aheadWait is the part of Wait in which the engine prefills the prompts ahead.
	aheadWait time.Duration
	// delay is aheadWait if the keeper of reservations answered it; otherwise 0.
	delay time.Duration
	// meanWait is engineWait with the demand factor of the model in place of its pace.
	meanWait time.Duration
	// engineWait is Wait without penalties and without the wait for a slot.
	engineWait time.Duration
	// Uncached is the number of prompt tokens that the engine has to prefill; 0 for plain services.
	Uncached int
	// Load is the upstream's load from all boxes that the prediction is based on.
	Load Load
}

// PrefillTime returns the predicted time to prefill the request's own prompt.
func (c *Choice) PrefillTime() time.Duration { return c.prefillTime }

// OwnWait returns the predicted time to the first token if the engine prefills no other prompts before.
func (c *Choice) OwnWait() time.Duration { return c.Wait - c.aheadWait }

// maxDelay bounds the delay that a keeper answers.
const maxDelay = 2 * maxReserved

// SetDelay replaces the predicted time in which the engine prefills other prompts before by the one that the
// keeper of its reservations answered.
func (c *Choice) SetDelay(delay time.Duration) {
	delay = max(0, min(maxDelay, delay))
	c.Wait = c.OwnWait() + delay
	c.aheadWait, c.delay = delay, delay
}

// Factor returns the learned correction of predictions at the engine.
func (c *Choice) Factor() float64 { return c.factor }

// Pace returns the learned pace of the model.
func (c *Choice) Pace() float64 { return c.pace }

// predict predicts the time to the first token at an engine:
//
//	ahead / prefill speed + (uncached prompt / prefill speed + running * delay) * model pace + step
//
// The result is multiplied by the upstream's factor. The wait for a slot and the penalties for full memory
// and for another hall are added. The caller holds the tracker's lock.
func (c *Chooser) predict(need Requirements, upstream *fleet.State, record *upstreamRecord) Choice {
	load := c.Loads.total(upstream.ID, record)
	record.cacheCapacity = prefixCacheCapacity(need.CacheTokens)
	choice := Choice{Upstream: upstream, Load: load, pauseShare: record.pauseShare}
	choice.Uncached = max(1, need.PromptTokens-record.cache.cachedTokens(need.Blocks))
	choice.Pause = c.Loads.enginePause(need, load, choice.Uncached)
	choice.factor, choice.pace = record.factor, c.Loads.modelPace(need.Model)
	factor := choice.factor * choice.pace
	choice.prefillTime = scale(prefillTime(choice.Uncached), factor)
	choice.eventTime = scale(eventTime(need, load), factor)
	choice.aheadWait = scale(prefillTime(load.prefillAhead(need.Urgency)), record.factor)
	choice.engineWait = scale(engineWait(need, load, choice.Uncached, choice.pace), record.factor)
	choice.meanWait = scale(engineWait(need, load, choice.Uncached, c.Loads.demandFactor(need.Model)), record.factor)
	choice.Wait = choice.engineWait + slotWait(load, upstream.Slots, record.runTime)
	if memoryFull(need, load) {
		choice.Wait += fullPenalty
	}
	if upstream.Hall != c.Hall {
		choice.Wait += otherHallPenalty
	}
	return choice
}

func engineWait(need Requirements, load Load, uncached int, pace float64) time.Duration {
	own := prefillTime(uncached) + time.Duration(load.Running)*prefillDelayPerRunning
	step := stepTime + time.Duration(load.Running)*stepTimePerRunning
	return prefillTime(load.prefillAhead(need.Urgency)) + scale(own, pace) + step
}

// slotWait returns the time until a slot is free at an engine. With all slots taken, one request ends every
// runTime / slots. Admission by this time instead of a fixed penalty keeps requests out of queues that are
// longer than their target.
func slotWait(load Load, slots int, runTime time.Duration) time.Duration {
	if slots == 0 || load.Running < slots {
		return 0
	}
	if runTime == 0 {
		return fullPenalty
	}
	return scale(runTime, float64(load.Running-slots+1)/float64(slots))
}

// enginePause predicts the pause of the streams that run at an engine. An event takes one decoding step per
// token, and all waiting prompts are prefilled in between, whatever their urgency.
func (t *LoadTracker) enginePause(need Requirements, load Load, uncached int) time.Duration {
	if load.Running == 0 {
		return 0
	}
	own := prefillTime(uncached) + eventTime(need, load)
	return prefillTime(load.prefillAhead(UrgencyLevels)) + scale(own, t.modelPace(need.Model))
}

// eventTime returns how long an engine takes to decode one event of each stream, without the prefill in between.
func eventTime(need Requirements, load Load) time.Duration {
	step := stepTime + time.Duration(load.Running)*stepTimePerRunning
	return time.Duration(max(1, need.EventTokens)) * step
}

// memoryFull reports whether an engine's memory probably has no room for the request beside the running ones.
func memoryFull(need Requirements, load Load) bool {
	taken := load.Tokens + need.PromptTokens + need.AnswerTokens
	return need.CacheTokens > 0 && float64(taken) > memoryFullShare*float64(need.CacheTokens)
}

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMillisecond * float64(time.Millisecond))
}

// EngineTime estimates the engine time that a request costs. Placement uses it as the demand.
func (t *LoadTracker) EngineTime(need Requirements, uncached int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := prefillTime(uncached) + time.Duration(need.AnswerTokens)*answerTokenTime
	return scale(work, t.demandFactor(need.Model))
}
