package gateway

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/routes"
)

// deadlines are the times until which a request may be worked on.
type deadlines struct {
	// answer is when the final answer is due; zero for no deadline.
	answer time.Time
	// upstream is the time until which the request may wait for a candidate before each of its attempts.
	upstream time.Time
	// load is the time until which it may wait for a model or adapter whose load is known to end by then.
	load time.Time
}

const (
	// upstreamWaitShare is the longest wait for a candidate, as a share of the route's target.
	upstreamWaitShare = 0.22
	// loadWaitShare is the longest wait for a load with a known end, as a share of the route's target. The rest is
	// left for the prefill of the prompt.
	loadWaitShare = 0.8
	// minUpstreamWait is the longest wait on routes with a short target or none: it is the lower limit of both
	// waits.
	minUpstreamWait = 50 * time.Millisecond
)

// newDeadlines derives the deadlines from the caller's deadline or the route's timeout, whichever comes first.
func newDeadlines(route *routes.Route, request *Request) deadlines {
	answer := request.Deadline
	if route.Timeout > 0 {
		timeout := request.Arrived.Add(route.Timeout)
		if answer.IsZero() || timeout.Before(answer) {
			answer = timeout
		}
	}
	wait := max(minUpstreamWait, time.Duration(upstreamWaitShare*float64(route.Target)))
	load := max(wait, time.Duration(loadWaitShare*float64(route.Target)))
	return deadlines{answer: answer, upstream: request.Arrived.Add(wait), load: request.Arrived.Add(load)}
}
