package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// This file chooses among the upstreams of a plain service. Each request takes one slot for about the same time.
//
// The loads of other boxes are 0.05 to 0.65 s old, longer than such a request takes. If every box sent to the
// upstream that was idle then, all would send to the same one until the next report, and requests would wait
// there while other upstreams are idle. So each box estimates what the upstreams have received since and chooses
// one at random. The weights even out the time that the upstreams need to finish their requests. With fresh loads
// this selects the least loaded upstream; with old loads it distributes by slots.
const (
	// responseTimeWeight is the weight of one response in an upstream's average response time.
	responseTimeWeight = 0.1
	// responseTimeDecay is the time without a response after which the weight of an upstream's own average
	// falls to 1/e, and the average of the service replaces it. An upstream that was slow gets few requests
	// and would otherwise count as slow long after.
	responseTimeDecay = 5 * time.Second
	// defaultResponseTime is used for a service that has not responded yet.
	defaultResponseTime = 50 * time.Millisecond
	// minResponseTime bounds response times from below, because loads are divided by them.
	minResponseTime = time.Millisecond
)

// responseTime is the moving average of an upstream's response time, including the wait for a slot.
type responseTime struct {
	mean time.Duration
	// last is the time of the latest response; zero if there was none.
	last time.Time
}

// add adds the response time of one request.
func (r *responseTime) add(took time.Duration, now time.Time) {
	if r.last.IsZero() {
		r.mean = took
	} else {
		r.mean += scale(took-r.mean, responseTimeWeight)
	}
	r.last = now
}

// expected returns the response time that is expected at now, given the mean of the service.
func (r *responseTime) expected(serviceMean time.Duration, now time.Time) time.Duration {
	if r.last.IsZero() {
		return max(minResponseTime, serviceMean)
	}
	ownWeight := math.Exp(-now.Sub(r.last).Seconds() / responseTimeDecay.Seconds())
	return max(minResponseTime, serviceMean+scale(r.mean-serviceMean, ownWeight))
}

// chooseService chooses a random upstream of a plain service, weighted by load. The caller holds the tracker's lock.
func (c *Chooser) chooseService(candidates []*fleet.State, now time.Time) Choice {
	upstreams, arrivals := c.serviceLoads(candidates, now)
	choice := upstreams[weightedIndex(waterFill(upstreams, arrivals), rand.Float64())]
	return Choice{Upstream: choice.state, Wait: choice.responseTime, Load: c.Loads.total(choice.state.ID, c.Loads.record(choice.state.ID))}
}

// serviceLoad is the estimated load of an upstream of a plain service.
type serviceLoad struct {
	state *fleet.State
	// requests is the estimated number of unfinished requests among those that are known.
	requests float64
	// rate is the number of requests finished per second while all slots are taken.
	rate float64
	// responseTime is the expected response time of one request.
	responseTime time.Duration
}

// serviceLoads returns the estimated loads of the candidates. arrivals is the estimated number of requests that
// other boxes sent to all of them since their loads were reported, plus this one. Ejected candidates are left
// out unless all are ejected.
func (c *Chooser) serviceLoads(candidates []*fleet.State, now time.Time) (loads []serviceLoad, arrivals float64) {
	baselineFailures := c.Loads.baselineFailureRate(candidates)
	meanResponseTime := c.Loads.meanResponseTime(candidates)
	var ejected []serviceLoad
	arrivals = 1
	for _, state := range candidates {
		record := c.Loads.record(state.ID)
		load, sent := c.Loads.serviceLoad(state, record.responseTime.expected(meanResponseTime, now), now)
		if excess := record.ejection.failureRate - baselineFailures; excess > 0 {
			load.rate *= max(0, 1-excess)
		}
		arrivals += sent
		if record.ejection.ejectIfOutlier(baselineFailures, now) {
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

// serviceLoad returns the reported requests that are probably unfinished plus those of this box. sent is the
// estimated number of requests that other boxes sent there since. It assumes that on average requests arrive as
// fast as they finish: as many as are in flight arrive within one response time. The caller holds the lock.
func (t *LoadTracker) serviceLoad(state *fleet.State, responseTime time.Duration, now time.Time) (load serviceLoad, sent float64) {
	reported := float64(t.remote[state.ID].Running)
	slots := float64(max(1, state.Slots))
	passed := max(0, now.Sub(t.remoteAt)).Seconds() / responseTime.Seconds()
	load = serviceLoad{
		state: state, responseTime: responseTime, rate: slots / responseTime.Seconds(),
		requests: max(0, reported-min(reported, slots)*passed) + float64(t.record(state.ID).own.Running),
	}
	return load, reported * passed
}

// meanResponseTime returns the mean response time of the candidates that have responded; defaultResponseTime if
// none has. The caller holds the lock.
func (t *LoadTracker) meanResponseTime(candidates []*fleet.State) time.Duration {
	var sum time.Duration
	known := 0
	for _, state := range candidates {
		if record := t.record(state.ID); !record.responseTime.last.IsZero() {
			sum += record.responseTime.mean
			known++
		}
	}
	if known == 0 {
		return defaultResponseTime
	}
	return sum / time.Duration(known)
}

// waterFill divides the arrivals among the upstreams, so that all upstreams that get any have the same backlog,
// measured as the time to finish it.
func waterFill(upstreams []serviceLoad, arrivals float64) []float64 {
	backlog := func(l serviceLoad) float64 { return l.requests / max(l.rate, math.SmallestNonzeroFloat32) }
	order := slices.Clone(upstreams)
	slices.SortFunc(order, func(a, b serviceLoad) int { return cmp.Compare(backlog(a), backlog(b)) })
	var rate, requests, level float64
	for i, upstream := range order {
		rate += upstream.rate
		requests += upstream.requests
		level = (arrivals + requests) / max(rate, math.SmallestNonzeroFloat32)
		if i+1 < len(order) && level <= backlog(order[i+1]) {
			break
		}
	}
	list := make([]float64, len(upstreams))
	for i, upstream := range upstreams {
		list[i] = max(0, level*upstream.rate-upstream.requests)
	}
	return list
}

// weightedIndex returns the index of the share that point, from 0 to 1, falls into. The shares divide that range in
// order, so that a random point selects each index with the probability of its share.
func weightedIndex(shares []float64, point float64) int {
	var sum float64
	for _, share := range shares {
		sum += share
	}
	left, last := point*sum, 0
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
