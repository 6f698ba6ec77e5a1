package box

import (
	"context"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
)

const (
	// fatesKept bounds the claimed requests that a box remembers.
	fatesKept = 10_000
	// answerBytesKept bounds the answers that it keeps for those who ask again.
	answerBytesKept = 16 << 20
	// longestFateWait bounds how long another box may wait for an end.
	longestFateWait = 30 * time.Second
)

// fates remembers what became of the requests that this box claimed. It is soft state: what
// is forgotten is unknown.
type fates struct {
	mu    sync.Mutex
	byID  map[string]*fate
	order []string
	bytes int
}

// fate is what became of one claimed request.
type fate struct {
	state  peer.RunOutcome
	answer *peer.Answer
	ended  chan struct{}
}

func newFates() *fates { return &fates{byID: map[string]*fate{}} }

// begin remembers a request before it is claimed.
func (f *fates) begin(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byID[id] = &fate{state: peer.RunRunning, ended: make(chan struct{})}
	f.order = append(f.order, id)
	f.trim()
}

// mayHand tells whether the request may be handed to its upstream: not if it was forgotten in the
// meantime, since others are then told that nothing is known of it.
func (f *fates) mayHand(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := f.byID[id]
	return entry != nil && entry.state == peer.RunRunning
}

// end notes a request's fate, with its answer if it is to be kept.
func (f *fates) end(id string, state peer.RunOutcome, answer *peer.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := f.byID[id]
	if entry == nil || entry.state != peer.RunRunning {
		return
	}
	entry.state, entry.answer = state, answer
	if answer != nil {
		f.bytes += len(answer.Body)
	}
	close(entry.ended)
	f.trim()
}

// wait tells a request's fate, after waiting for its end for a while.
func (f *fates) wait(ctx context.Context, id string, wait time.Duration) peer.OutcomeResponse {
	f.mu.Lock()
	entry := f.byID[id]
	f.mu.Unlock()
	if entry == nil {
		return peer.OutcomeResponse{Outcome: peer.RunUnknown}
	}
	if wait > 0 {
		select {
		case <-entry.ended:
		case <-ctx.Done():
		case <-time.After(min(wait, longestFateWait)):
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return peer.OutcomeResponse{Outcome: entry.state, Answer: entry.answer}
}

// trim forgets the oldest ended requests beyond the bounds. The caller holds the lock.
func (f *fates) trim() {
	for len(f.order) > 0 && (len(f.order) > fatesKept || f.bytes > answerBytesKept) {
		oldest := f.byID[f.order[0]]
		if oldest != nil && oldest.answer != nil {
			f.bytes -= len(oldest.answer.Body)
		}
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}
