package cluster

import (
	"context"
	"maps"
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

// crashRecords are a box's records of crashes, by the request or part of a prompt that was in flight.
type crashRecords interface {
	TakeChanged() []quarantine.Fingerprint
	All() []quarantine.Fingerprint
	Update(of []quarantine.Fingerprint) quarantine.Update
	Merge(update quarantine.Update) []quarantine.Fingerprint
}

// crashBroadcasts queues, for each other box, the requests or parts of prompts under which upstreams crashed. It is safe
// for concurrent use.
type crashBroadcasts struct {
	Register crashRecords
	// SignalUrgent triggers an immediate report.
	SignalUrgent func()

	broadcastQueue[quarantine.Fingerprint]
}

func newCrashBroadcasts(register crashRecords, signalUrgent func()) *crashBroadcasts {
	return &crashBroadcasts{
		Register: register, SignalUrgent: signalUrgent,
		broadcastQueue: broadcastQueue[quarantine.Fingerprint]{maxPerMessage: maxCrashesPerMessage},
	}
}

// urgentReports limits the reports outside of the regular exchanges.
type urgentReports struct {
	// due holds an element while there are crashes to report at once.
	due   chan struct{}
	limit *rate.Limiter
}

func newUrgentReports() urgentReports {
	return urgentReports{due: make(chan struct{}, 1), limit: rate.NewLimiter(urgentRate, urgentBurst)}
}

// signal triggers an immediate report.
func (u urgentReports) signal() {
	select {
	case u.due <- struct{}{}:
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
	c.SignalUrgent()
}

// sendUrgentCrashes reports crashes to other boxes as soon as there are any, within its rate limit. A caller that
// retries every 50 ms then crashes fewer upstreams.
func (e *Exchange) sendUrgentCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.urgent.due:
		}
		if !e.urgent.limit.AllowN(time.Now(), 1) {
			continue
		}
		targets := e.Members.targets(time.Now())
		e.crashes.collect(targets)
		e.partCrashes.collect(targets)
		pending := e.crashes.pending()
		maps.Copy(pending, e.partCrashes.pending())
		for _, c := range e.Members.beginCallsTo(pending, time.Now()) {
			go e.exchangeWith(ctx, c)
		}
	}
}
