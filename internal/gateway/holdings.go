package gateway

import "sync/atomic"

// Holdings counts the bytes that this box holds for callers: bodies of requests under way and answers that are held until they are whole.
// A nil one sets no limit. It is safe for concurrent use.
type Holdings struct {
	limit int64
	held  atomic.Int64
}

const (
	// controlBytes is what a box needs beside what it holds for callers.
	controlBytes = 64 << 20
	// holdingsShare is the part of the rest that may be held: the runtime needs as much again until it has collected what is over, and
	// half of that is left to the buffers of connections.
	holdingsShare = 4
)

// NewHoldings returns the holdings of a box with so much memory, in bytes; without a limit if that is not known.
func NewHoldings(memoryBytes int64) *Holdings {
	if memoryBytes <= 0 {
		return nil
	}
	return &Holdings{limit: max(maxHeldAnswer, (memoryBytes-controlBytes)/holdingsShare)}
}

// Take counts bytes that are to be held. It is false, and nothing is counted, if that were too many.
func (h *Holdings) Take(bytes int64) bool {
	if h == nil {
		return true
	}
	if h.held.Add(bytes) <= h.limit {
		return true
	}
	h.held.Add(-bytes)
	return false
}

// Give counts bytes that are held no more.
func (h *Holdings) Give(bytes int64) {
	if h != nil {
		h.held.Add(-bytes)
	}
}

// Held is how many bytes are held.
func (h *Holdings) Held() int64 {
	if h == nil {
		return 0
	}
	return h.held.Load()
}
