package dispatch

import (
	"time"
)

// Unresponsive tells whether nobody got an answer from a back end lately, though several tried.
func (b *LoadTracker) Unresponsive(backend string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.backends[backend]
	return entry != nil && entry.health.silent(time.Now())
}

const (
	// silentVerdicts failures in a row, over at least silentTime, have a back end taken for gone;
	// that is forgotten when none came for silentMemory.
	silentVerdicts = 3
	silentTime     = 300 * time.Millisecond
	silentMemory   = 4 * time.Second
)

// silent tells whether nobody got an answer from the back end lately, though several tried.
func (h *health) silent(now time.Time) bool {
	return h.bad >= silentVerdicts && h.lastBad.Sub(h.firstBad) >= silentTime && now.Sub(h.lastBad) < silentMemory
}

// count follows the failures in a row.
func (h *health) count(good bool, now time.Time) {
	if good {
		h.bad = 0
		return
	}
	if h.bad == 0 || now.Sub(h.lastBad) >= silentMemory {
		h.bad, h.firstBad = 0, now
	}
	h.bad++
	h.lastBad = now
}
