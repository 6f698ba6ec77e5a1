package cluster

import (
	"slices"
	"sync"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// PendingUpdates is the queue of updates that each other box was not sent yet. It is safe for concurrent
// use.
type PendingUpdates struct {
	mu     sync.Mutex
	byName map[string]*updates
	// work since the last collection.
	work map[residency.WorkKey]float64
}

// updates are what one box was not sent yet.
type updates struct {
	target
	prompts  []dispatch.SentPrompt
	outcomes map[string]dispatch.Outcomes
	paused   map[string]int
	// work that was asked of models, in milliseconds of an engine's time.
	work map[residency.WorkKey]float64
}

// maxPending bounds the prompts that wait for a box that does not answer, in entries; the oldest
// ones go first.
const maxPending = 500

// NewPendingUpdates returns a queue without updates.
func NewPendingUpdates() *PendingUpdates {
	return &PendingUpdates{byName: map[string]*updates{}, work: map[residency.WorkKey]float64{}}
}

func newUpdates(to target) *updates {
	return &updates{target: to, outcomes: map[string]dispatch.Outcomes{}, paused: map[string]int{}, work: map[residency.WorkKey]float64{}}
}

// observations are the updates for routing.
func (u *updates) observations() dispatch.Observations {
	return dispatch.Observations{Prompts: u.prompts, Outcomes: u.outcomes, Paused: u.paused}
}

// workItems are the work to send.
func (u *updates) workItems() []workItem {
	var items []workItem
	for key, milliseconds := range u.work {
		items = append(items, workItem{WorkKey: key, Milliseconds: milliseconds})
	}
	return items
}

// add adds observations, and work if the box wants it.
func (u *updates) add(observed dispatch.Observations, work map[residency.WorkKey]float64) {
	u.prompts = newest(append(u.prompts, observed.Prompts...))
	for id, counts := range observed.Outcomes {
		old := u.outcomes[id]
		u.outcomes[id] = dispatch.Outcomes{Succeeded: old.Succeeded + counts.Succeeded, Failed: old.Failed + counts.Failed}
	}
	for id, count := range observed.Paused {
		u.paused[id] += count
	}
	if !u.target.work {
		return
	}
	for key, milliseconds := range work {
		u.work[key] += milliseconds
	}
}

func newest[T any](list []T) []T {
	return list[max(0, len(list)-maxPending):]
}

// NoteWork adds work that was asked of models at this box, in milliseconds of an engine's time.
func (p *PendingUpdates) NoteWork(work map[residency.WorkKey]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, milliseconds := range work {
		p.work[key] += milliseconds
	}
}

// collect queues for the targets what happened here since the last call, drops the updates for
// other boxes, and returns the work for this box itself.
func (p *PendingUpdates) collect(loads *dispatch.LoadTracker, targets []target) map[residency.WorkKey]float64 {
	observed := loads.TakeObservations()
	p.mu.Lock()
	defer p.mu.Unlock()
	work := p.work
	p.work = map[residency.WorkKey]float64{}
	for name := range p.byName {
		if !slices.ContainsFunc(targets, func(t target) bool { return t.name == name }) {
			delete(p.byName, name)
		}
	}
	for _, to := range targets {
		waiting := p.byName[to.name]
		if waiting == nil {
			waiting = newUpdates(to)
			p.byName[to.name] = waiting
		}
		waiting.target = to
		waiting.add(observed, work)
	}
	return work
}

// forward queues what another box sent: from a box of the hall for all others, from another relay
// for the boxes of the hall.
func (p *PendingUpdates) forward(from string, received scope, observed dispatch.Observations, work map[residency.WorkKey]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, waiting := range p.byName {
		if name == from || (received == hallScope && waiting.relay) {
			continue
		}
		waiting.add(observed, work)
	}
}

// take returns the updates for a box and empties its queue. What is taken is lost if the exchange
// fails.
func (p *PendingUpdates) take(name string) *updates {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := p.byName[name]
	if waiting == nil {
		return newUpdates(target{name: name})
	}
	p.byName[name] = newUpdates(waiting.target)
	return waiting
}
