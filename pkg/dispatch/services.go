package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// This file chooses among the upstreams of a plain service, whose requests take a slot each for about the same time.
//
// The loads of other boxes are 0.05 to 0.65 s old, longer than such a request takes. If each box sends to the upstream that
// was idle then, all send to the same one until the next report, and requests wait there while the others are idle. So each
// box goes by what the upstreams have probably got since: it draws one at random, with shares that even out the time until
// they have worked off what they have. With fresh loads that is the one with the least to do, with old ones each
// according to its slots.
const (
	// answerTimeWeight is the weight of one answer in an upstream's answer time.
	answerTimeWeight = 0.1
	// answerTimeMemory is after how long without an answer an upstream's own answer time counts for 1/e beside that of the
	// service: one that was slow gets few requests, and would stay slow in memory.
	answerTimeMemory = 5 * time.Second
	// firstAnswerTime is the answer time of a service that has not answered yet.
	firstAnswerTime = 50 * time.Millisecond
	// leastAnswerTime bounds an answer time, by which loads are divided.
	leastAnswerTime = time.Millisecond
)

// answerTime is how long an upstream of a plain service takes for a request, with the wait for a slot: a running mean.
type answerTime struct {
	mean time.Duration
	// last is when the latest request was answered; zero if none was.
	last time.Time
}

// note takes the time of one request.
func (a *answerTime) note(took time.Duration, now time.Time) {
	if a.last.IsZero() {
		a.mean = took
	} else {
		a.mean += scale(took-a.mean, answerTimeWeight)
	}
	a.last = now
}

// expected is the time of a request now, given what is usual at the service.
func (a *answerTime) expected(usual time.Duration, now time.Time) time.Duration {
	if a.last.IsZero() {
		return max(leastAnswerTime, usual)
	}
	own := math.Exp(-now.Sub(a.last).Seconds() / answerTimeMemory.Seconds())
	return max(leastAnswerTime, usual+scale(a.mean-usual, own))
}

// chooseService draws an upstream of a plain service. The caller holds the tracker's lock.
func (c *Chooser) chooseService(candidates []*fleet.State, now time.Time) Choice {
	upstreams, arrivals := c.serviceLoads(candidates, now)
	choice := upstreams[draw(shares(upstreams, arrivals), rand.Float64())]
	return Choice{Upstream: choice.state, Wait: choice.answer, Load: c.Loads.total(choice.state.ID, c.Loads.record(choice.state.ID))}
}

// serviceLoad is what an upstream of a plain service has to do.
type serviceLoad struct {
	state *fleet.State
	// requests that it probably has, of those that are known.
	requests float64
	// rate is how many requests it answers in a second while all its slots are taken.
	rate float64
	// answer is how long a request takes.
	answer time.Duration
}

// serviceLoads returns what the candidates probably have to do now, and how many requests were probably sent to all of them
// since the other boxes reported, this one included. Ejected candidates are left out, unless all are.
func (c *Chooser) serviceLoads(candidates []*fleet.State, now time.Time) (loads []serviceLoad, arrivals float64) {
	failures := c.Loads.usualFailureShare(candidates)
	usual := c.Loads.usualAnswerTime(candidates)
	var ejected []serviceLoad
	arrivals = 1
	for _, state := range candidates {
		record := c.Loads.record(state.ID)
		load, sent := c.Loads.serviceLoad(state, record.answerTime.expected(usual, now), now)
		if excess := record.ejection.failureShare - failures; excess > 0 {
			load.rate *= max(0, 1-excess)
		}
		arrivals += sent
		if record.ejection.ejected(failures, now) {
			ejected = append(ejected, load)
		} else {
			loads = append(loads, load)
		}
	}
	if len(loads) == 0 {
		return ejected, arrivals
	}
	return loads, arrivals
}

// serviceLoad returns what is left at an upstream of what was reported, with the requests of this box, and how many others
// were probably sent there since: requests come as fast as they are answered on average, so that as many come in one answer
// time as are under way. The caller holds the lock.
func (t *LoadTracker) serviceLoad(state *fleet.State, answer time.Duration, now time.Time) (load serviceLoad, sent float64) {
	reported := float64(t.remote[state.ID].Running)
	slots := float64(max(1, state.Slots))
	passed := max(0, now.Sub(t.remoteAt)).Seconds() / answer.Seconds()
	load = serviceLoad{
		state: state, answer: answer, rate: slots / answer.Seconds(),
		requests: max(0, reported-min(reported, slots)*passed) + float64(t.record(state.ID).own.Running),
	}
	return load, reported * passed
}

// usualAnswerTime is the mean answer time of the candidates that answered. The caller holds the lock.
func (t *LoadTracker) usualAnswerTime(candidates []*fleet.State) time.Duration {
	var sum time.Duration
	known := 0
	for _, state := range candidates {
		if record := t.record(state.ID); !record.answerTime.last.IsZero() {
			sum += record.answerTime.mean
			known++
		}
	}
	if known == 0 {
		return firstAnswerTime
	}
	return sum / time.Duration(known)
}

// shares are how many of the arrivals each upstream gets, so that all those that get any have the same time of work before
// them.
func shares(upstreams []serviceLoad, arrivals float64) []float64 {
	work := func(l serviceLoad) float64 { return l.requests / max(l.rate, math.SmallestNonzeroFloat32) }
	order := slices.Clone(upstreams)
	slices.SortFunc(order, func(a, b serviceLoad) int { return cmp.Compare(work(a), work(b)) })
	var rate, requests, level float64
	for i, upstream := range order {
		rate += upstream.rate
		requests += upstream.requests
		level = (arrivals + requests) / max(rate, math.SmallestNonzeroFloat32)
		if i+1 < len(order) && level <= work(order[i+1]) {
			break
		}
	}
	list := make([]float64, len(upstreams))
	for i, upstream := range upstreams {
		list[i] = max(0, level*upstream.rate-upstream.requests)
	}
	return list
}

// draw returns an index with the probability of its share; at is from 0 to 1.
func draw(shares []float64, at float64) int {
	var sum float64
	for _, share := range shares {
		sum += share
	}
	left, last := at*sum, 0
	for i, share := range shares {
		if share <= 0 {
			continue
		}
		last = i
		if left -= share; left < 0 {
			break
		}
	}
	return last
}
