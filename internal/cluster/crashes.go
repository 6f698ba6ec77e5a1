package cluster

import (
	"sync"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

const (
	// crashTellings is in how many messages a box is told each piece of news of requests under which upstreams crashed: an
	// answer to a call may be lost unnoticed. Chosen, not measured.
	crashTellings = 2
	// maxToldCrashes bounds the requests of which one message tells, in entries; the others wait. With 20 bytes each they take a
	// link of 10 Mbit/s 16 ms. Chosen, not measured: ten engines' requests.
	maxToldCrashes = 1000
)

// crashNews is which requests, under which upstreams crashed, each other box is still to be told of. What it is told is what is
// known when a message leaves; so nothing waits but names, each once. It is safe for concurrent use.
type crashNews struct {
	Known *quarantine.Register

	mu     sync.Mutex
	byName map[string]*untold
}

// untold are the requests that one box is to be told of, each with in how many messages.
type untold struct {
	target
	requests map[quarantine.Fingerprint]int
}

func newCrashNews(known *quarantine.Register) *crashNews {
	return &crashNews{Known: known, byName: map[string]*untold{}}
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

// receive takes in what a box told, nil if that is nothing, and passes on what is news if this box relays: from a box of the
// hall to all others, from another relay to the boxes of the hall.
func (c *crashNews) receive(from string, received scope, update *quarantine.Update) {
	if update == nil {
		return
	}
	news := c.Known.Take(*update)
	if received != memberScope && received != hallScope {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, queue := range c.byName {
		if name != from && !(received == hallScope && queue.relay) {
			queue.add(news)
		}
	}
}
