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
	// work and uses since the last collection.
	work map[residency.ModelKey]float64
	uses []residency.Use
}

type outbox struct {
	sent     []dispatch.Sent
	verdicts map[string]dispatch.Verdicts
	work     map[residency.ModelKey]float64
	uses     []residency.Use
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

func (o *outboxes) used(use residency.Use) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.uses) < maxOutbox {
		o.uses = append(o.uses, use)
	}
}

// collect puts what happened since the last call into all peers' boxes, and returns the work
// and uses for this machine itself.
func (o *outboxes) collect(book *dispatch.Book, peers []string) (map[residency.ModelKey]float64, []residency.Use) {
	sent, verdicts := book.TakeNews()
	o.mu.Lock()
	defer o.mu.Unlock()
	work, uses := o.work, o.uses
	o.work, o.uses = map[residency.ModelKey]float64{}, nil
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
		box.uses = lastOf(append(box.uses, uses...))
		for id, counts := range verdicts {
			old := box.verdicts[id]
			box.verdicts[id] = dispatch.Verdicts{Good: old.Good + counts.Good, Bad: old.Bad + counts.Bad}
		}
		for key, milliseconds := range work {
			box.work[key] += milliseconds
		}
	}
	return work, uses
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
