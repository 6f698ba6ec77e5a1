package box

import (
	"context"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
)

const (
	// maxOutcomes bounds the claimed runs that a box remembers.
	maxOutcomes = 10_000
	// maxKeptAnswerBytes bounds the plain services' answers that are kept for later attempts, in bytes of their
	// bodies. See docs/design/claims.md.
	maxKeptAnswerBytes = 16 << 20
	// maxOutcomeWait bounds how long a request for an outcome may wait for the end of a run.
	maxOutcomeWait = 30 * time.Second
)

// outcomes holds the outcomes of the runs that this box claimed. It is soft state: the outcome of a run that was
// forgotten is unknown.
type outcomes struct {
	mu   sync.Mutex
	byID map[string]*outcome
	// order lists the ids from the oldest to the newest. bytes is the size of the answers' bodies kept.
	order []string
	bytes int
}

// outcome is the state of one claimed run.
type outcome struct {
	state  peer.RunOutcome
	answer *peer.Answer
	// ended is closed when state is final.
	ended chan struct{}
}

func newOutcomes() *outcomes { return &outcomes{byID: map[string]*outcome{}} }

// begin records a run. It is called before the run is claimed.
func (o *outcomes) begin(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byID[id] = &outcome{state: peer.RunRunning, ended: make(chan struct{})}
	o.order = append(o.order, id)
	o.trim()
}

// maySend reports whether a claimed run may be sent to its upstream. It may not if it was forgotten in the meantime,
// since its outcome could then no longer be reported to other boxes.
func (o *outcomes) maySend(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry := o.byID[id]
	return entry != nil && entry.state == peer.RunRunning
}

// end records a run's outcome, with its answer if that is to be kept. Only the first outcome counts.
func (o *outcomes) end(id string, state peer.RunOutcome, answer *peer.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry := o.byID[id]
	if entry == nil || entry.state != peer.RunRunning {
		return
	}
	entry.state, entry.answer = state, answer
	if answer != nil {
		o.bytes += len(answer.Body)
	}
	close(entry.ended)
	o.trim()
}

// wait returns a run's outcome. If the run is still going, it waits for its end for at most wait and maxOutcomeWait.
func (o *outcomes) wait(ctx context.Context, id string, wait time.Duration) peer.OutcomeResponse {
	o.mu.Lock()
	entry := o.byID[id]
	o.mu.Unlock()
	if entry == nil {
		return peer.OutcomeResponse{Outcome: peer.RunUnknown}
	}
	if wait > 0 {
		select {
		case <-entry.ended:
		case <-ctx.Done():
		case <-time.After(min(wait, maxOutcomeWait)):
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return peer.OutcomeResponse{Outcome: entry.state, Answer: entry.answer}
}

// handleOutcome answers another box that asks for the outcome of a run.
func (o *outcomes) handleOutcome(ctx context.Context, request peer.OutcomeRequest) (peer.OutcomeResponse, error) {
	return o.wait(ctx, request.RequestID, request.Wait), nil
}

// trim forgets the oldest runs until the bounds are kept. The caller holds the lock.
func (o *outcomes) trim() {
	for len(o.order) > 0 && (len(o.order) > maxOutcomes || o.bytes > maxKeptAnswerBytes) {
		oldest := o.byID[o.order[0]]
		if oldest != nil && oldest.answer != nil {
			o.bytes -= len(oldest.answer.Body)
		}
		delete(o.byID, o.order[0])
		o.order = o.order[1:]
	}
}
