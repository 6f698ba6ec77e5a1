package cluster

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

const (
	// crashTellings is in how many messages a box is told each piece of news of requests under which upstreams crashed: an
	// answer to a call may be lost unnoticed.
	crashTellings = 2
	// maxToldCrashes bounds the requests of which one message tells, in entries; the others wait. With 20 bytes each they take a
	// link of 10 Mbit/s 16 ms. Ten engines' requests.
	maxToldCrashes = 1000
	// urgentRate and urgentBurst bound how often a box tells others at once, outside of the regular exchanges: a relay of 73
	// boxes then makes 73 calls. The first two crashes under a request and one to spare; when many upstreams crash together
	// the rest waits for the next exchanges.
	urgentRate  = 1
	urgentBurst = 3
)

// crashNews is which requests, under which upstreams crashed, each other box is still to be told of. What it is told is what is
// known when a message leaves; so nothing waits but names, each once. It is safe for concurrent use.
type crashNews struct {
	Known *quarantine.Register

	// urgent has an element while there is news to tell at once.
	urgent chan struct{}
	limit  *rate.Limiter

	mu     sync.Mutex
	byName map[string]*untold
}

// untold are the requests that one box is to be told of, each with in how many messages.
type untold struct {
	target
	requests map[quarantine.Fingerprint]int
}

func newCrashNews(known *quarantine.Register) *crashNews {
	c := &crashNews{
		Known: known, byName: map[string]*untold{},
		urgent: make(chan struct{}, 1), limit: rate.NewLimiter(urgentRate, urgentBurst),
	}
	if known != nil {
		known.OnChanged = c.wake
	}
	return c
}

// wake has news told at once.
func (c *crashNews) wake() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// collect queues this box's news for the targets, and drops the queues of others. A box that becomes a target is told of all
// that is known: it may have started, or been out of touch.
func (c *crashNews) collect(targets []target) {
	changed := c.Known.TakeChanged()
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[string]*untold, len(targets))
	for _, to := range targets {
		queue := c.byName[to.name]
		if queue == nil {
			queue = &untold{requests: map[quarantine.Fingerprint]int{}}
			queue.add(c.Known.All())
		}
		queue.target = to
		queue.add(changed)
		next[to.name] = queue
	}
	c.byName = next
}

func (u *untold) add(requests []quarantine.Fingerprint) {
	for _, f := range requests {
		u.requests[f] = crashTellings
	}
}

// take returns what a box is told now; nil if that is nothing.
func (c *crashNews) take(name string) *quarantine.Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.byName[name]
	if queue == nil || len(queue.requests) == 0 {
		return nil
	}
	var told []quarantine.Fingerprint
	for f, left := range queue.requests {
		if len(told) == maxToldCrashes {
			break
		}
		told = append(told, f)
		if left == 1 {
			delete(queue.requests, f)
		} else {
			queue.requests[f] = left - 1
		}
	}
	update := c.Known.Update(told)
	return &update
}

// putBack queues what a box was not told because the call failed; nil is nothing.
func (c *crashNews) putBack(name string, update *quarantine.Update) {
	if update == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if queue := c.byName[name]; queue != nil {
		queue.add(update.Requests())
	}
}

// receive takes in what a box told, nil if that is nothing. In a large fleet it passes on what is news: that of another relay to
// the boxes of the hall, that of any other box to all. Only what is news is passed on, so that nothing goes round for ever.
func (c *crashNews) receive(from string, large bool, update *quarantine.Update) {
	if update == nil {
		return
	}
	news := c.Known.Take(*update)
	if !large || len(news) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sender := c.byName[from]
	fromRelay := sender != nil && sender.relay
	for name, queue := range c.byName {
		if name != from && !(fromRelay && queue.relay) {
			queue.add(news)
		}
	}
	c.wake()
}

// waiting names the boxes that have news to come.
func (c *crashNews) waiting() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := map[string]bool{}
	for name, queue := range c.byName {
		if len(queue.requests) > 0 {
			names[name] = true
		}
	}
	return names
}

// tellAtOnce tells other boxes of crashes as soon as there is news, within its limit. A caller that comes again each 50 ms crashes
// fewer upstreams so.
func (e *Exchange) tellAtOnce(ctx context.Context) {
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
		for _, c := range e.Members.callsTo(e.crashes.waiting(), time.Now()) {
			go e.exchangeWith(ctx, c)
		}
	}
}
