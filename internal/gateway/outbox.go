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

type outbox struct {
	sent     []dispatch.Sent
	verdicts map[string]dispatch.Verdicts
	work     map[residency.ModelKey]float64
}

// maxOutbox bounds each list for a peer that does not answer; the oldest entries go first.
const maxOutbox = 500

func newOutboxes() *outboxes {
	return &outboxes{boxes: map[string]*outbox{}, work: map[residency.ModelKey]float64{}}
}

func newOutbox() *outbox {
	return &outbox{verdicts: map[string]dispatch.Verdicts{}, work: map[residency.ModelKey]float64{}}
}

func (o *outboxes) note(work map[residency.ModelKey]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, milliseconds := range work {
		o.work[key] += milliseconds
	}
}

// collect puts what happened since the last call into all peers' boxes, and returns the work
// for this machine itself.
func (o *outboxes) collect(book *dispatch.Book, peers []string) map[residency.ModelKey]float64 {
	sent, verdicts := book.TakeNews()
	o.mu.Lock()
	defer o.mu.Unlock()
	work := o.work
	o.work = map[residency.ModelKey]float64{}
	for name := range o.boxes {
		if !slices.Contains(peers, name) {
			delete(o.boxes, name)
		}
	}
	for _, name := range peers {
		box := o.boxes[name]
		if box == nil {
			box = newOutbox()
			o.boxes[name] = box
		}
		box.sent = lastOf(append(box.sent, sent...))
		for id, counts := range verdicts {
			old := box.verdicts[id]
			box.verdicts[id] = dispatch.Verdicts{Good: old.Good + counts.Good, Bad: old.Bad + counts.Bad}
		}
		for key, milliseconds := range work {
			box.work[key] += milliseconds
		}
	}
	return work
}

func lastOf[T any](list []T) []T {
	return list[max(0, len(list)-maxOutbox):]
}

// take empties one peer's box.
func (o *outboxes) take(peer string) *outbox {
	o.mu.Lock()
	defer o.mu.Unlock()
	box := o.boxes[peer]
	if box == nil {
		return newOutbox()
	}
	o.boxes[peer] = newOutbox()
	return box
}
