package cluster

import "sync"

// newsTellings is in how many messages a box is told each piece of news: an answer to a call may be lost unnoticed.
const newsTellings = 2

// tellings is which news each other box is still to be told of, by its key. What it is told is what is known when a message leaves; so
// nothing waits but keys, each once. It is safe for concurrent use.
type tellings[K comparable] struct {
	// most bounds the keys of which one message tells; the others wait.
	most int

	mu     sync.Mutex
	byName map[string]*untold[K]
}

// untold are the keys that one box is to be told of, each with in how many messages.
type untold[K comparable] struct {
	target
	keys map[K]int
}

// collect queues what changed at this box for the targets, and drops the queues of others. A box that becomes a target is told all that
// is known: it may have started, or been out of touch.
func (t *tellings[K]) collect(targets []target, changed []K, all func() []K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*untold[K], len(targets))
	for _, to := range targets {
		queue := t.byName[to.name]
		if queue == nil {
			queue = &untold[K]{keys: map[K]int{}}
			queue.add(all())
		}
		queue.target = to
		queue.add(changed)
		next[to.name] = queue
	}
	t.byName = next
}

func (u *untold[K]) add(keys []K) {
	for _, key := range keys {
		u.keys[key] = newsTellings
	}
}

// take returns what a box is told of now.
func (t *tellings[K]) take(name string) []K {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.byName[name]
	if queue == nil {
		return nil
	}
	var told []K
	for key, left := range queue.keys {
		if len(told) == t.most {
			break
		}
		told = append(told, key)
		if left == 1 {
			delete(queue.keys, key)
		} else {
			queue.keys[key] = left - 1
		}
	}
	return told
}

// putBack queues what a box was not told because the call failed.
func (t *tellings[K]) putBack(name string, keys []K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if queue := t.byName[name]; queue != nil {
		queue.add(keys)
	}
}

// passOn queues what a box told, as far as it is news: that of another relay for the boxes of the hall, that of any other box for all.
// Only what is news is passed on, so that nothing goes round for ever.
func (t *tellings[K]) passOn(from string, news []K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sender := t.byName[from]
	fromRelay := sender != nil && sender.relay
	for name, queue := range t.byName {
		if name != from && !(fromRelay && queue.relay) {
			queue.add(news)
		}
	}
}

// waiting names the boxes that have news to come.
func (t *tellings[K]) waiting() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := map[string]bool{}
	for name, queue := range t.byName {
		if len(queue.keys) > 0 {
			names[name] = true
		}
	}
	return names
}
