package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// This file decides when a refused caller should come back. It answers callers that returned while the cause still
// lasted: told to wait 50 ms where engines failed or an order holder was out of reach for seconds, a quarter were
// refused again, although most had seconds left. A return is worth the same at any time that meets the same end of
// the caller's, so it is best as late as that end allows: the target while it can still be met, and the caller's
// deadline after that.

const (
	// returnShare is the part of the caller's time left that passes before it returns once the target is missed.
	// The other two thirds remain for the answer.
	returnShare = 1.0 / 3
	// targetReturnShare is the part that passes of the time in which a return still meets the target.
	targetReturnShare = 0.5
	// targetAnswerShare is the part of the target that a return needs for its answer.
	targetAnswerShare = 0.25
	// minTargetReturn is the shortest return worth asking for in order to meet the target. Within less, the same
	// cause is met again.
	minTargetReturn = 100 * time.Millisecond
	// maxReturn is the longest return asked for without a known end of the cause. Callers with minutes left do not
	// wait longer than an upstream takes to be replaced.
	maxReturn = 3 * time.Second
	// returnSpread is the part of a return that is random, so that callers refused together do not return together.
	returnSpread = 0.2
)

// returnQuestion is what the time of a return depends on.
type returnQuestion struct {
	cause reason
	// stated is the time until the cause is expected to be gone, or the minimum for this cause.
	stated time.Duration
	// target is the route's target for the first answer; 0 for none.
	target time.Duration
	// elapsed is the time since the caller's request arrived, and left the time until its deadline; left is 0 if the
	// caller gave no deadline or it has passed.
	elapsed, left time.Duration
}

// after returns after how long the caller should return. It is never less than the stated time.
func (q returnQuestion) after() time.Duration {
	if !q.mayLast() || q.left <= 0 {
		return q.stated
	}
	longest := min(maxReturn, time.Duration(returnShare*float64(q.left)))
	if inTarget := q.inTarget(); inTarget >= minTargetReturn {
		longest = min(longest, inTarget)
	}
	return max(q.stated, longest-time.Duration(rand.Float64()*returnSpread*float64(longest)))
}

// inTarget returns the return that can still meet the target; 0 or less if none can.
func (q returnQuestion) inTarget() time.Duration {
	spare := q.target - time.Duration(targetAnswerShare*float64(q.target)) - q.elapsed
	return time.Duration(targetReturnShare * float64(spare))
}

// mayLast reports whether other boxes may run into the same cause, and for a time that is not stated. Full engines
// state their wait: later returns to them were served no more often, since they add to the load of that time.
func (q returnQuestion) mayLast() bool {
	switch q.cause {
	case reasonBroken, reasonNotExecuted, reasonUnreachable, reasonNoUpstream, reasonNoModel, reasonNoAdapter,
		reasonAttempts:
		return true
	}
	return false
}

// setReturn sets when the caller of a refused request should return. Where boxes exchange directly, it stays as stated:
// in such small fleets more of the late returns were refused again.
func (r *inflight) setReturn(refused *refusal) {
	if refused.retryAfter == 0 || r.gateway.LateReturns == nil || !r.gateway.LateReturns() {
		return
	}
	question := returnQuestion{
		cause: refused.reason, stated: refused.retryAfter, target: r.route.Target, elapsed: time.Since(r.request.Arrived),
	}
	if !r.request.Deadline.IsZero() {
		question.left = time.Until(r.request.Deadline)
	}
	refused.retryAfter = question.after()
	name := fmt.Sprintf("ospreymoor_return_seconds{reason=%q}", refused.reason)
	r.gateway.Metrics.GetOrCreateHistogram(name).Update(refused.retryAfter.Seconds())
}
