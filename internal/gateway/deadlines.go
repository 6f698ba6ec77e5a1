package gateway

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/routes"
)

// deadlines are the times up to which a request may be worked on.
type deadlines struct {
	// answer is when the final answer is due; zero for never.
	answer time.Time
	// upstream is until when the request may wait for a candidate, ahead of each of its attempts.
	upstream time.Time
	// load is until when it may wait for a model or adapter whose load is known to end by then.
	load time.Time
}

const (
	// upstreamWaitShare is the longest wait for a candidate, as a share of the route's target.
	upstreamWaitShare = 0.22
	// loadWaitShare is the longest wait for a load whose end is known, as a share of the route's target:
	// the rest is for the prompt.
	loadWaitShare = 0.8
	// leastUpstreamWait is the longest wait on routes with a short target or none.
	leastUpstreamWait = 50 * time.Millisecond
)

// newDeadlines takes the caller's deadline or the route's timeout, whichever comes first.
func newDeadlines(route *routes.Route, request *Request) deadlines {
	answer := request.Deadline
	if route.Timeout > 0 {
		timeout := request.Arrived.Add(route.Timeout)
		if answer.IsZero() || timeout.Before(answer) {
			answer = timeout
		}
	}
	wait := max(leastUpstreamWait, time.Duration(upstreamWaitShare*float64(route.Target)))
	load := max(wait, time.Duration(loadWaitShare*float64(route.Target)))
	return deadlines{answer: answer, upstream: request.Arrived.Add(wait), load: request.Arrived.Add(load)}
}
