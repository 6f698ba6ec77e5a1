package gateway

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

// This file decides which requests a box that stops still sends to upstreams. An upstream that runs a request when the
// process ends is cut off, and the caller gets no answer. So a request is sent late in the grace time only if its own
// deadline passes before the end of it, by when it has a final answer in any case. Others are refused as not run, at
// once: their callers have the most time left for another box.
//
//	request                                  sent
//	begins after refusing began              no (drain.go)
//	its deadline passes in the grace time    yes, until then
//	any other                                until refusing begins
//	stream with events passed on             yes: without it, the stream is broken off in any case

// errStopping means that an attempt was not sent because this box stops.
const errStopping = errors.ConstError("box stops: the request may not end within its grace time")

// sendLimit limits what a box that stops sends. The zero value limits nothing.
type sendLimit struct {
	mu sync.Mutex
	// end is the end of the grace time; zero while there is no limit.
	end time.Time
	// pending are the callbacks of requests whose bodies arrive.
	pending map[*sendCallback]struct{}
}

// sendCallback is called once a request may not be sent any more.
type sendCallback struct {
	deadline time.Time
	call     func()
	// timer makes the call; nil while there is no limit.
	timer *time.Timer
}

// begin limits requests that are sent from now on to those whose deadline passes before the end of the grace time.
func (l *sendLimit) begin(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = end
	for callback := range l.pending {
		l.arm(callback)
	}
}

// allows reports whether a request with this deadline may be sent now; a zero deadline never passes.
func (l *sendLimit) allows(deadline time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowsLocked(deadline)
}

func (l *sendLimit) allowsLocked(deadline time.Time) bool {
	return l.end.IsZero() || !deadline.IsZero() && !deadline.After(l.end)
}

// onEnd calls a function once a request with this deadline may not be sent any more. stop ends that, and reports whether
// the function was called or is about to be.
func (l *sendLimit) onEnd(deadline time.Time, call func()) (stop func() (called bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	callback := &sendCallback{deadline: deadline, call: call}
	if l.pending == nil {
		l.pending = map[*sendCallback]struct{}{}
	}
	l.pending[callback] = struct{}{}
	if !l.end.IsZero() {
		l.arm(callback)
	}
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pending, callback)
		return callback.timer != nil && !callback.timer.Stop()
	}
}

// arm has the call made in time. The caller holds the lock.
func (l *sendLimit) arm(callback *sendCallback) {
	wait := time.Duration(0)
	if l.allowsLocked(callback.deadline) {
		wait = time.Until(callback.deadline)
	}
	callback.timer = time.AfterFunc(wait, callback.call)
}

// StopSending limits requests that are sent from now on to those that have an answer by the end of the grace time.
func (g *Gateway) StopSending(end time.Time) { g.sendLimit.begin(end) }

// sendCheck returns a function that fails once the request may not be sent any more. It may be called on any goroutine.
func (r *inflight) sendCheck() func() error {
	limit, deadline, begun := &r.gateway.sendLimit, r.deadlines.answer, !r.timing.firstByte.IsZero()
	return func() error {
		if begun || limit.allows(deadline) {
			return nil
		}
		return errStopping
	}
}
