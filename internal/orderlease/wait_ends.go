package orderlease

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/peer"
)

// basis is why orders of earlier holders can no longer arrive after the wait ends.
type basis string

const (
	basisOwnRecord basis = "own record"
	basisYielded   basis = "former holder yielded"
	basisRefused   basis = "former holder refuses connections"
	basisLeaseOver basis = "former holder's lease is over"
)

// waitEnds holds the times from which engines may be given orders.
type waitEnds struct {
	basis    basis
	byEngine map[string]time.Time
	// others applies to all engines that are not in byEngine.
	others time.Time
}

// waitEndsAfter returns from when each engine may be given orders after those of the former holder. ok is false as
// long as that is not known. outdated means that no holder has written its name in the store's present epoch yet.
func (h *handover) waitEndsAfter(ctx context.Context, term *int64, former holderRecord, outdated bool, gained time.Time) (after waitEnds, ok bool) {
	if former.Name == h.name {
		return h.waitEndsAfterSelf(former.Settled), true
	}
	if address, known := h.addressOf(former.Name); known {
		answer, err := h.askYield(ctx, address, *term)
		now := time.Now()
		switch {
		case err == nil && answer.Term >= *term:
			// It did not stop, because it was asked under a term that is not above its own. Within one epoch it is the later
			// holder then.
			if outdated {
				h.raise(term, answer.Term)
			}
			return waitEnds{}, false
		case err == nil:
			return h.waitEndsAfterYield(answer, now), true
		case errors.Is(err, syscall.ECONNREFUSED):
			return waitEnds{basis: basisRefused, others: now.Add(h.orderGap)}, true
		}
		// Any other error leads to a retry: the box may be frozen or cut off.
	}
	if end := gained.Add(h.maxActing + h.orderGap); time.Now().After(end) {
		return waitEnds{basis: basisLeaseOver, others: end}, true
	}
	return waitEnds{}, false
}

// askYield asks the former holder to stop giving orders and to report its last ones.
func (h *handover) askYield(ctx context.Context, address string, term int64) (yieldAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, cluster.CallTimeout)
	defer cancel()
	return peer.Call[yieldAnswer](callCtx, h.client, address, methodYield, yieldRequest{Term: term, To: h.name})
}

// waitEndsAfterYield returns the wait ends after a former holder that has stopped at time now.
func (h *handover) waitEndsAfterYield(answer yieldAnswer, now time.Time) waitEnds {
	after := waitEnds{
		basis:    basisYielded,
		byEngine: make(map[string]time.Time, len(answer.Ages)),
		others:   now.Add(h.orderGap - answer.Others),
	}
	for engine, age := range answer.Ages {
		after.byEngine[engine] = now.Add(h.orderGap - age)
	}
	return after
}

// waitEndsAfterSelf returns the wait ends if this box gave the last orders. settled reports that the waits after the
// holder before it are over. If they are not over and this process does not know them, it assumes the longest that an
// earlier process of this box can have had to wait. Otherwise a holder that is killed soon after its takeover and
// restarts would give orders to engines while orders of the holder before it may still arrive.
func (h *handover) waitEndsAfterSelf(settled bool) waitEnds {
	h.mu.Lock()
	defer h.mu.Unlock()
	after := waitEnds{others: h.started.Add(h.orderGap)}
	if h.waitEndsKnown || settled {
		after = h.waitEnds
	}
	after.basis = basisOwnRecord
	return after
}

// setWaitEnds sets the wait ends after a former holder. They apply until those after another one replace them.
func (h *handover) setWaitEnds(after waitEnds) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitEnds, h.waitEndsKnown = after, true
}

// lastOrders returns how long ago engines were given their last orders, by this box (ages) or by earlier holders. It
// updates ages.
func (h *handover) lastOrders(ages map[string]time.Duration) yieldAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	answer := yieldAnswer{Ages: ages, Others: now.Sub(h.started)}
	if !h.waitEnds.others.IsZero() {
		answer.Others = min(answer.Others, h.orderGap-h.waitEnds.others.Sub(now))
	}
	for engine, age := range ages {
		if _, ok := h.waitEnds.byEngine[engine]; !ok {
			ages[engine] = min(age, answer.Others) // A later holder may have given it orders since.
		}
	}
	for engine, at := range h.waitEnds.byEngine {
		age := h.orderGap - at.Sub(now)
		if known, ok := ages[engine]; !ok || age < known {
			ages[engine] = min(age, now.Sub(h.started))
		}
	}
	return answer
}
