package standin

import (
	"container/heap"
	"context"
	"slices"
)

// waiter is a run that waits for a slot. number is its position in the order of arrival; ready is closed
// when it gets the slot.
type waiter struct {
	priority int32
	number   int64
	ready    chan struct{}
}

// waitQueue orders runs by priority, then by arrival.
type waitQueue struct {
	waiters    []*waiter
	lastNumber int64
}

// Len returns the number of waiting runs.
func (q *waitQueue) Len() int { return len(q.waiters) }

// Less reports whether run i has a higher priority than run j, or the same and arrived earlier.
func (q *waitQueue) Less(i, j int) bool {
	a, b := q.waiters[i], q.waiters[j]
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.number < b.number
}

// Swap exchanges two runs.
func (q *waitQueue) Swap(i, j int) { q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i] }

// Push adds a run.
func (q *waitQueue) Push(x any) { q.waiters = append(q.waiters, x.(*waiter)) }

// Pop removes the last run.
func (q *waitQueue) Pop() any {
	last := q.waiters[len(q.waiters)-1]
	q.waiters = q.waiters[:len(q.waiters)-1]
	return last
}

// takeSlot waits for a slot and reports whether the run got one before ctx ended.
func (e *Engine) takeSlot(ctx context.Context, priority int32) bool {
	e.mu.Lock()
	if e.running < max(1, e.Slots) {
		e.running++
		e.mu.Unlock()
		return true
	}
	e.queue.lastNumber++
	w := &waiter{priority: priority, number: e.queue.lastNumber, ready: make(chan struct{})}
	heap.Push(&e.queue, w)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return e.leaveQueue(w)
	}
}

// leaveQueue removes a run from the queue. It returns true if the run has got a slot in the meantime.
func (e *Engine) leaveQueue(w *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.queue.waiters, w)
	if i < 0 {
		return true
	}
	heap.Remove(&e.queue, i)
	return false
}

// freeSlot gives the slot to the next waiting run, or frees it if none waits.
func (e *Engine) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.Len() == 0 {
		e.running--
		return
	}
	next := heap.Pop(&e.queue).(*waiter)
	close(next.ready)
}
