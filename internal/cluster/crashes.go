package cluster

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

const (
	// maxToldCrashes bounds the requests of which one message tells, in entries; the others wait. With 20 bytes each they take a
	// link of 10 Mbit/s 16 ms. Ten engines' requests.
	maxToldCrashes = 1000
	// urgentRate and urgentBurst bound how often a box tells others at once, outside of the regular exchanges: a relay of 73
	// boxes then makes 73 calls. The first two crashes under a request and one to spare; when many upstreams crash together
	// the rest waits for the next exchanges.
	urgentRate  = 1
	urgentBurst = 3
)

// crashNews is which requests, under which upstreams crashed, each other box is still to be told of. It is safe for concurrent use.
type crashNews struct {
	Known *quarantine.Register

	tellings[quarantine.Fingerprint]
	// urgent has an element while there is news to tell at once.
	urgent chan struct{}
	limit  *rate.Limiter
}

func newCrashNews(known *quarantine.Register) *crashNews {
	c := &crashNews{
		Known: known, tellings: tellings[quarantine.Fingerprint]{most: maxToldCrashes},
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

// collect queues this box's news for the targets.
func (c *crashNews) collect(targets []target) {
	c.tellings.collect(targets, c.Known.TakeChanged(), c.Known.All)
}

// take returns what a box is told now; nil if that is nothing.
func (c *crashNews) take(name string) *quarantine.Update {
	told := c.tellings.take(name)
	if len(told) == 0 {
		return nil
	}
	update := c.Known.Update(told)
	return &update
}

// putBack queues what a box was not told because the call failed; nil is nothing.
func (c *crashNews) putBack(name string, update *quarantine.Update) {
	if update != nil {
		c.tellings.putBack(name, update.Requests())
	}
}

// receive takes in what a box told, nil if that is nothing, and passes on in a large fleet what is news.
func (c *crashNews) receive(from string, large bool, update *quarantine.Update) {
	if update == nil {
		return
	}
	news := c.Known.Take(*update)
	if !large || len(news) == 0 {
		return
	}
	c.passOn(from, news)
	c.wake()
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
