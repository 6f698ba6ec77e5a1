package orderlease

import (
	"time"

	"go.uber.org/zap"
)

// This file has what a handover does after the store came back from a copy; see handover.

// epochState is what a handover knows of the store's epochs.
type epochState struct {
	// number is the epoch as last noted, and since is when this box first noted it.
	number int64
	since  time.Time
	// gaveOrders means that this box was allowed orders in the epoch ordersIn, and has neither yielded nor resigned since.
	gaveOrders bool
	ordersIn   int64
	// lastRenewal is when the lease that this box lost last was last renewed.
	lastRenewal time.Time
	// loggedWait is the epoch for which a wait was logged.
	loggedWait int64
}

// noteEpoch notes the store's epoch.
func (h *handover) noteEpoch() {
	if h.store.Epoch == nil {
		return
	}
	epoch := h.store.Epoch()
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch != h.epoch.number {
		h.epoch.number, h.epoch.since = epoch, time.Now()
	}
}

// currentEpoch returns the store's epoch as last noted.
func (h *handover) currentEpoch() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch.number
}

// forgetOrders notes that another box may give orders from now on.
func (h *handover) forgetOrders() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epoch.gaveOrders = false
}

// waitForEpochBefore returns the wait ends if no holder has written its name in this epoch yet: those of this box itself
// if it gave the last orders. If not, ok is false until no order of a holder of the epoch before can arrive any more.
// after and known are what waitEndsAfter returned.
func (h *handover) waitForEpochBefore(after waitEnds, known bool) (ends waitEnds, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gaveLastOrders() {
		return h.waitEnds, true
	}
	left := time.Until(h.epoch.since.Add(h.maxActing + h.orderGap))
	if left > 0 && h.epoch.loggedWait != h.epoch.number {
		h.epoch.loggedWait = h.epoch.number
		h.log.Info("orders wait for a holder of the store's epoch before", zap.Int64("epoch", h.epoch.number), zap.Duration("wait", left))
	}
	return after, known && left <= 0
}

// gaveLastOrders reports whether this box gave the last orders of the epoch before. Another box could have gained the
// lease once this one had not renewed it for its TTL. Since this box was not asked to yield, that box could have given
// orders only after it waited for as long as this one could act and its orders arrive. If the epoch ended before, it
// gave none. The caller holds the lock.
func (h *handover) gaveLastOrders() bool {
	e := &h.epoch
	return e.gaveOrders && e.ordersIn == e.number-1 && e.since.Sub(e.lastRenewal) <= h.lease.ttl+h.orderGap
}
