package orderlease

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

// handover keeps a new holder of the order lease from giving orders to an engine while orders of the former holder
// may still arrive there. The former holder is the box whose name the store has as the last that gave orders. Orders
// may begin as follows:
//
//   - The former holder is this box: at once, except that waits after the holder before it still apply. The box's
//     record in the store says whether these are over. A process that restarts before they are over no longer knows
//     them. Orders of other boxes were given before its start, so all engines wait for the order gap from the start.
//   - The former holder answers the yield call: it has stopped, and each engine may be given orders once the order
//     gap has passed since the last order that the answer reports.
//   - The former holder's address refuses the connection: no process of that box is running, so its last order was
//     given before now. All engines wait for the order gap.
//   - The former holder can't be asked: a lease that it may still believe it holds must run out, then the order gap
//     must pass, both counted from when the new holder gained the lease. Meanwhile the yield call is retried, because
//     a box that was frozen or cut off may come back.
//
// Only when the waits are known does the new holder write its name into the store and allow orders. A box that is
// killed before that leaves the former holder's name for the next holder.
type handover struct {
	store kv.Store
	key   string
	name  string
	// orderGap is how long orders of two boxes to one engine must be apart.
	orderGap time.Duration
	// maxActing is the longest time that a holder acts after a renewal.
	maxActing time.Duration
	started   time.Time
	addressOf func(name string) (address string, ok bool)
	client    *peer.Client
	log       *zap.Logger

	mu sync.Mutex
	// term is the term that this box holds, 0 if none. ordersAllowed reports whether orders may be given under it,
	// after waitEnds.
	term          int64
	ordersAllowed bool
	waitEnds      waitEnds
	// waitEndsKnown reports whether this process has set waitEnds after a former holder.
	waitEndsKnown bool
	// unreadableRevision is the revision of the last holder's record that was last logged as unreadable.
	unreadableRevision int64
}

// waitEnds holds the times from which engines may be given orders.
type waitEnds struct {
	byEngine map[string]time.Time
	// others applies to all engines that are not in byEngine.
	others time.Time
}

// newHandover returns a handover without a term; maxActing is the longest time that a holder acts after a renewal.
func newHandover(config Config, maxActing time.Duration) *handover {
	return &handover{
		store:     config.Store,
		key:       config.OwnPrefix + lastHolderKey,
		name:      config.Name,
		orderGap:  config.OrderGap,
		maxActing: maxActing,
		started:   time.Now(),
		addressOf: config.Peers.AddressOf,
		client:    config.Client,
		log:       config.Log,
		waitEnds:  waitEnds{byEngine: map[string]time.Time{}},
	}
}

const (
	// tryTimeout limits one try to take over, and recordSettled's calls of the store.
	tryTimeout = time.Second
	// retryPause is the pause between two tries.
	retryPause = 150 * time.Millisecond
)

// leaseChanged is called when the lease is gained (term above 0) or lost.
func (h *handover) leaseChanged(term int64) {
	h.mu.Lock()
	h.term, h.ordersAllowed = term, false
	h.mu.Unlock()
	if term == 0 {
		h.log.Info("order lease lost", zap.Int64("term", term))
		return
	}
	h.log.Info("order lease gained", zap.Int64("term", term))
	go h.run(term, time.Now())
}

// run tries to take over until that succeeds or the term is lost.
func (h *handover) run(term int64, gained time.Time) {
	for h.holds(term) {
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		done := h.tryTakeover(ctx, term, gained)
		cancel()
		if done {
			return
		}
		time.Sleep(retryPause)
	}
}

// tryTakeover takes over if it is known from when each engine may be given orders, and reports whether it did. It
// returns false after an error of the store, and run calls it again. pkg/mirror logs that the store is unreachable.
func (h *handover) tryTakeover(ctx context.Context, term int64, gained time.Time) bool {
	record, err := h.store.Get(ctx, h.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return false
	}
	var former holderRecord
	if err == nil {
		former = h.decodeHolder(record)
	}
	if former.Name == h.name {
		h.resume(term, former.Settled)
		return true
	}
	after, ok := h.waitEndsAfter(ctx, term, former.Name, gained)
	if !ok {
		return false
	}
	// The wait ends are stored before the swap: if it takes effect but its answer is lost, the next try finds this
	// box's own name and needs them.
	h.setWaitEnds(after)
	if h.writeHolder(ctx, record.Revision, holderRecord{Name: h.name}) != nil {
		return false
	}
	h.allowOrders(term)
	return true
}

// waitEndsAfter returns from when each engine may be given orders after those of the former holder. ok is false as
// long as that is not known.
func (h *handover) waitEndsAfter(ctx context.Context, term int64, former string, gained time.Time) (after waitEnds, ok bool) {
	if address, known := h.addressOf(former); known {
		answer, err := h.askYield(ctx, address, term)
		now := time.Now()
		switch {
		case err == nil:
			return h.waitEndsAfterYield(answer, now), true
		case errors.Is(err, syscall.ECONNREFUSED):
			return waitEnds{others: now.Add(h.orderGap)}, true
		}
		// Any other error leads to a retry: the box may be frozen or cut off.
	}
	if end := gained.Add(h.maxActing + h.orderGap); time.Now().After(end) {
		return waitEnds{others: end}, true
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
	after := waitEnds{byEngine: make(map[string]time.Time, len(answer.Ages)), others: now.Add(h.orderGap - answer.Others)}
	for engine, age := range answer.Ages {
		after.byEngine[engine] = now.Add(h.orderGap - age)
	}
	return after
}

// holds reports whether this box still holds the lease under a term.
func (h *handover) holds(term int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term == term
}

// setWaitEnds sets the wait ends after a former holder. They apply until those after another one replace them.
func (h *handover) setWaitEnds(after waitEnds) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitEnds, h.waitEndsKnown = after, true
}

// resume allows orders when the store has this box as the last that gave orders. settled reports that the waits after
// the holder before it are over. If they are not over and this process does not know them, it assumes the longest
// that an earlier process of this box can have had to wait. Otherwise a holder that is killed soon after its takeover
// and restarts would give orders to engines while orders of the holder before it may still arrive.
func (h *handover) resume(term int64, settled bool) {
	h.mu.Lock()
	known := h.waitEndsKnown || settled
	h.mu.Unlock()
	if !known {
		h.setWaitEnds(waitEnds{others: h.started.Add(h.orderGap)})
	}
	h.allowOrders(term)
}

// allowOrders allows orders under a term, to each engine after its wait end. It does nothing if the term was lost.
func (h *handover) allowOrders(term int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != term {
		return
	}
	h.ordersAllowed = true
	go h.recordSettled(term)
	h.log.Info("orders may begin",
		zap.Int64("term", term),
		zap.Duration("wait", max(0, time.Until(h.waitEnds.others))),
		zap.Int("engines", len(h.waitEnds.byEngine)))
}

// mayOrder reports whether orders may be given under a term, after the wait ends.
func (h *handover) mayOrder(term int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term == term && h.ordersAllowed
}

// notBefore returns from when an engine may be given orders.
func (h *handover) notBefore(engine string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, ok := h.waitEnds.byEngine[engine]; ok {
		return at
	}
	return h.waitEnds.others
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
	for engine, at := range h.waitEnds.byEngine {
		age := h.orderGap - at.Sub(now)
		if known, ok := ages[engine]; !ok || age < known {
			ages[engine] = min(age, now.Sub(h.started))
		}
	}
	return answer
}
