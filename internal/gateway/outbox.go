package gateway

import (
	"slices"
	"sync"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// outboxes gather what each peer has not been told yet.
type outboxes struct {
	mu    sync.Mutex
	boxes map[string]*outbox
	// work since the last collection.
	work map[residency.ModelKey]float64
}

// target is a peer that news are gathered for.
type target struct {
	name string
	// work tells that it wants to know of work that is asked for, and relay that it passes news
	// on to the machines of its zone.
	work, relay bool
}

type outbox struct {
	target
	sent     []dispatch.SentPrompt
	verdicts map[string]dispatch.Outcomes
	asked    map[residency.ModelKey]float64
}

// maxOutbox bounds each list for a peer that does not answer; the oldest entries go first.
const maxOutbox = 500

func newOutboxes() *outboxes {
	return &outboxes{boxes: map[string]*outbox{}, work: map[residency.ModelKey]float64{}}
}

func newOutbox(to target) *outbox {
	return &outbox{target: to, verdicts: map[string]dispatch.Outcomes{}, asked: map[residency.ModelKey]float64{}}
}

// news is what the box holds for routing.
func (o *outbox) news() dispatch.Observations {
	return dispatch.Observations{Prompts: o.sent, Outcomes: o.verdicts}
}

// put adds news to the box.
func (o *outbox) put(news dispatch.Observations, work map[residency.ModelKey]float64) {
	o.sent = lastOf(append(o.sent, news.Prompts...))
	for id, counts := range news.Outcomes {
		old := o.verdicts[id]
		o.verdicts[id] = dispatch.Outcomes{Succeeded: old.Succeeded + counts.Succeeded, Failed: old.Failed + counts.Failed}
	}
	if !o.target.work {
		return
	}
	for key, milliseconds := range work {
		o.asked[key] += milliseconds
	}
}

func lastOf[T any](list []T) []T {
	return list[max(0, len(list)-maxOutbox):]
}

func (o *outboxes) note(work map[residency.ModelKey]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, milliseconds := range work {
		o.work[key] += milliseconds
	}
}

// collect puts what happened here since the last call into the boxes of the targets, drops those
// of others, and returns the work for this machine itself.
func (o *outboxes) collect(book *dispatch.LoadTracker, targets []target) map[residency.ModelKey]float64 {
	sent, verdicts := book.TakeObservations()
	news := dispatch.Observations{Prompts: sent, Outcomes: verdicts}
	o.mu.Lock()
	defer o.mu.Unlock()
	work := o.work
	o.work = map[residency.ModelKey]float64{}
	for name := range o.boxes {
		if !slices.ContainsFunc(targets, func(t target) bool { return t.name == name }) {
			delete(o.boxes, name)
		}
	}
	for _, to := range targets {
		box := o.boxes[to.name]
		if box == nil {
			box = newOutbox(to)
			o.boxes[to.name] = box
		}
		box.target = to
		box.put(news, work)
	}
	return work
}

// forward passes on what a peer told: what a machine of the zone said goes to all, what another
// relay said to the machines of the zone.
func (o *outboxes) forward(from string, said voice, news dispatch.Observations, work map[residency.ModelKey]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, box := range o.boxes {
		if name == from || (said == zoneVoice && box.relay) {
			continue
		}
		box.put(news, work)
	}
}

// take empties one peer's box.
func (o *outboxes) take(peer string) *outbox {
	o.mu.Lock()
	defer o.mu.Unlock()
	box := o.boxes[peer]
	if box == nil {
		return newOutbox(target{name: peer})
	}
	o.boxes[peer] = newOutbox(box.target)
	return box
}
