package cluster

import "sync"

// maxLeavingPerMessage bounds the leaving upstreams that one message lists. With 40 bytes each they take a link of
// 10 Mbit/s 4 ms. It is a sixth of the engines of the fleet size that the system is designed for.
const maxLeavingPerMessage = 100

// leavingRotation holds, for each box, the offset in the list of leaving upstreams from which the next message lists
// them. Each message continues where the one before ended, so that all upstreams are sent in turn, and those of a
// lost answer again. It is safe for concurrent use.
type leavingRotation struct {
	mu      sync.Mutex
	offsets map[string]int
}

// next returns the part of all leaving upstreams to send to one box now.
func (r *leavingRotation) next(to string, all []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(all) <= maxLeavingPerMessage {
		delete(r.offsets, to)
		return all
	}
	if r.offsets == nil {
		r.offsets = map[string]int{}
	}
	offset := r.offsets[to] % len(all)
	r.offsets[to] = offset + maxLeavingPerMessage
	part := append([]string{}, all[offset:min(len(all), offset+maxLeavingPerMessage)]...)
	return append(part, all[:maxLeavingPerMessage-len(part)]...)
}
