package gateway

import "sync/atomic"

// MemoryBudget counts and limits the memory that this box uses for callers: the bodies of requests in flight and
// the answers that are buffered until they are complete. A nil budget sets no limit. It is safe for concurrent
// use.
type MemoryBudget struct {
	limit int64
	used  atomic.Int64
}

const (
	// processReserveBytes is the memory that a box needs apart from what it holds for callers.
	processReserveBytes = 64 << 20
	// memoryBudgetDivisor gives the budget as a part of the memory beyond processReserveBytes. The runtime needs
	// as much again until it has collected what is no longer used, and the other half is left for the buffers of
	// connections.
	memoryBudgetDivisor = 4
)

// NewMemoryBudget returns the budget of a box with this much memory, in bytes. It returns nil, which sets no
// limit, if the memory is unknown.
func NewMemoryBudget(memoryBytes int64) *MemoryBudget {
	if memoryBytes <= 0 {
		return nil
	}
	return &MemoryBudget{limit: max(maxBufferedAnswer, (memoryBytes-processReserveBytes)/memoryBudgetDivisor)}
}

// Reserve counts bytes that are about to be held. It returns false and counts nothing if they exceed the budget.
func (b *MemoryBudget) Reserve(bytes int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(bytes) <= b.limit {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// Release returns bytes to the budget that are no longer held.
func (b *MemoryBudget) Release(bytes int64) {
	if b != nil {
		b.used.Add(-bytes)
	}
}

// Used returns the number of bytes in use.
func (b *MemoryBudget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
