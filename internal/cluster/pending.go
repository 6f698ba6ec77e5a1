package cluster

import (
	"slices"
	"sync"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// PendingUpdates queues updates for the other boxes until they are sent. It is safe for concurrent use.
type PendingUpdates struct {
	mu     sync.Mutex
	byName map[string]*boxUpdates
	// work since the last collection, in milliseconds of an engine's time.
	work map[residency.WorkKey]float64
}

// boxUpdates are the updates that one box was not sent yet.
type boxUpdates struct {
	target
	prompts  []dispatch.SentPrompt
	outcomes map[string]dispatch.Outcomes
	paused   map[string]int
	// work that was requested of models, in milliseconds of an engine's time.
	work map[residency.WorkKey]float64
}

// maxPending bounds the prompts that are queued for a box that does not answer, in entries. The oldest are dropped
// first.
const maxPending = 500

// NewPendingUpdates returns an empty queue.
func NewPendingUpdates() *PendingUpdates {
	return &PendingUpdates{byName: map[string]*boxUpdates{}, work: map[residency.WorkKey]float64{}}
}

func newUpdates(to target) *boxUpdates {
	return &boxUpdates{target: to, outcomes: map[string]dispatch.Outcomes{}, paused: map[string]int{}, work: map[residency.WorkKey]float64{}}
}

// observations returns the updates for routing.
func (u *boxUpdates) observations() dispatch.Observations {
	return dispatch.Observations{Prompts: u.prompts, Outcomes: u.outcomes, Paused: u.paused}
}

// workItems returns the work to send.
func (u *boxUpdates) workItems() []workItem {
	var items []workItem
	for key, milliseconds := range u.work {
		items = append(items, workItem{WorkKey: key, Milliseconds: milliseconds})
	}
	return items
}

// add queues observations, and work if the box is sent work.
func (u *boxUpdates) add(observed dispatch.Observations, work map[residency.WorkKey]float64) {
	u.prompts = trimPending(append(u.prompts, observed.Prompts...))
	for id, counts := range observed.Outcomes {
		old := u.outcomes[id]
		u.outcomes[id] = dispatch.Outcomes{Succeeded: old.Succeeded + counts.Succeeded, Failed: old.Failed + counts.Failed}
	}
	for id, count := range observed.Paused {
		u.paused[id] += count
	}
	if !u.target.wantsWork {
		return
	}
	for key, milliseconds := range work {
		u.work[key] += milliseconds
	}
}

func trimPending[T any](list []T) []T {
	return list[max(0, len(list)-maxPending):]
}

// AddWork adds work that was requested of models at this box, in milliseconds of an engine's time.
func (p *PendingUpdates) AddWork(work map[residency.WorkKey]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, milliseconds := range work {
		p.work[key] += milliseconds
	}
}

// collect queues for the targets what happened at this box since the last call, drops the queues of other boxes, and
// returns the work for this box itself.
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
		queue := p.byName[to.name]
		if queue == nil {
			queue = newUpdates(to)
			p.byName[to.name] = queue
		}
		queue.target = to
		queue.add(observed, work)
	}
	return work
}

// forward queues what another box sent: from another relay for the boxes of the hall, from any other box for all
// others.
func (p *PendingUpdates) forward(from string, received scope, observed dispatch.Observations, work map[residency.WorkKey]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, queue := range p.byName {
		if name == from || (received == hallScope && queue.relay) {
			continue
		}
		queue.add(observed, work)
	}
}

// take returns the updates for a box and empties its queue. They are lost if the exchange fails.
func (p *PendingUpdates) take(name string) *boxUpdates {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.byName[name]
	if queue == nil {
		return newUpdates(target{name: name})
	}
	p.byName[name] = newUpdates(queue.target)
	return queue
}
