package cluster

import "sync"

// transmissions is how many messages to a box contain each key: an answer to a call may be lost unnoticed.
const transmissions = 2

// broadcastQueue holds the keys of changes that each other box is still to be sent. A message contains the values
// that are current when it is built, so that only keys are queued, each once. It is safe for concurrent use.
type broadcastQueue[K comparable] struct {
	// maxPerMessage bounds the keys of one message; the others wait.
	maxPerMessage int

	mu     sync.Mutex
	byName map[string]*peerQueue[K]
}

// peerQueue holds the keys to send to one box, each with the number of messages that are still to contain it.
type peerQueue[K comparable] struct {
	target
	keys map[K]int
}

// collect queues the changes at this box for the targets, and drops the queues of other boxes. A box that becomes a
// target is sent all that is known: it may have started, or been out of touch.
func (q *broadcastQueue[K]) collect(targets []target, changed []K, all func() []K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := make(map[string]*peerQueue[K], len(targets))
	for _, to := range targets {
		queue := q.byName[to.name]
		if queue == nil {
			queue = &peerQueue[K]{keys: map[K]int{}}
			queue.add(all())
		}
		queue.target = to
		queue.add(changed)
		next[to.name] = queue
	}
	q.byName = next
}

func (q *peerQueue[K]) add(keys []K) {
	for _, key := range keys {
		q.keys[key] = transmissions
	}
}

// take returns the keys to send to a box now.
func (q *broadcastQueue[K]) take(name string) []K {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.byName[name]
	if queue == nil {
		return nil
	}
	var keys []K
	for key, left := range queue.keys {
		if len(keys) == q.maxPerMessage {
			break
		}
		keys = append(keys, key)
		if left == 1 {
			delete(queue.keys, key)
		} else {
			queue.keys[key] = left - 1
		}
	}
	return keys
}

// requeue queues keys again after the call that carried them failed.
func (q *broadcastQueue[K]) requeue(name string, keys []K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if queue := q.byName[name]; queue != nil {
		queue.add(keys)
	}
}

// forward queues what another box sent: from another relay for the boxes of the hall, from any other box for all.
// The caller passes only keys that are new to this box, so that nothing circulates forever.
func (q *broadcastQueue[K]) forward(from string, keys []K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sender := q.byName[from]
	fromRelay := sender != nil && sender.relay
	for name, queue := range q.byName {
		if name != from && !(fromRelay && queue.relay) {
			queue.add(keys)
		}
	}
}

// pending returns the names of the boxes with keys queued.
func (q *broadcastQueue[K]) pending() map[string]bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	names := map[string]bool{}
	for name, queue := range q.byName {
		if len(queue.keys) > 0 {
			names[name] = true
		}
	}
	return names
}
