package cluster

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

const (
	// maxCrashesPerMessage bounds the requests that one message reports, in entries; the others wait. With 20 bytes
	// each they take a link of 10 Mbit/s 16 ms. 1000 is as many as ten engines have in flight.
	maxCrashesPerMessage = 1000
	// urgentRate and urgentBurst bound how often a box reports crashes outside of the regular exchanges: a relay of
	// 73 boxes makes 73 calls each time. The burst covers the first two crashes under a request and one more. When
	// many upstreams crash together, the rest waits for the next exchanges.
	urgentRate  = 1
	urgentBurst = 3
)

// crashBroadcasts queues, for each other box, the requests under which upstreams crashed. It is safe for concurrent
// use.
type crashBroadcasts struct {
	Register *quarantine.Register

	broadcastQueue[quarantine.Fingerprint]
	// urgent holds an element while there are crashes to report at once.
	urgent chan struct{}
	limit  *rate.Limiter
}

func newCrashBroadcasts(register *quarantine.Register) *crashBroadcasts {
	c := &crashBroadcasts{
		Register: register, broadcastQueue: broadcastQueue[quarantine.Fingerprint]{maxPerMessage: maxCrashesPerMessage},
		urgent: make(chan struct{}, 1), limit: rate.NewLimiter(urgentRate, urgentBurst),
	}
	if register != nil {
		register.OnChanged = c.signalUrgent
	}
	return c
}

// signalUrgent triggers an immediate report.
func (c *crashBroadcasts) signalUrgent() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// collect queues the changes at this box for the targets.
func (c *crashBroadcasts) collect(targets []target) {
	c.broadcastQueue.collect(targets, c.Register.TakeChanged(), c.Register.All)
}

// take returns the crashes to report to a box now; nil if there are none.
func (c *crashBroadcasts) take(name string) *quarantine.Update {
	requests := c.broadcastQueue.take(name)
	if len(requests) == 0 {
		return nil
	}
	update := c.Register.Update(requests)
	return &update
}

// requeue queues an update again after the call that carried it failed. A nil update is ignored.
func (c *crashBroadcasts) requeue(name string, update *quarantine.Update) {
	if update != nil {
		c.broadcastQueue.requeue(name, update.Requests())
	}
}

// receive applies an update from a box and, in a large fleet, forwards what is new in it. A nil update is ignored.
func (c *crashBroadcasts) receive(from string, large bool, update *quarantine.Update) {
	if update == nil {
		return
	}
	changed := c.Register.Merge(*update)
	if !large || len(changed) == 0 {
		return
	}
	c.forward(from, changed)
	c.signalUrgent()
}

// sendUrgentCrashes reports crashes to other boxes as soon as there are any, within its rate limit. A caller that
// retries every 50 ms then crashes fewer upstreams.
func (e *Exchange) sendUrgentCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.crashes.urgent:
		}
		if !e.crashes.limit.AllowN(time.Now(), 1) {
			continue
		}
		targets := e.Members.targets(time.Now())
		e.crashes.collect(targets)
		for _, c := range e.Members.beginCallsTo(e.crashes.pending(), time.Now()) {
			go e.exchangeWith(ctx, c)
		}
	}
}
