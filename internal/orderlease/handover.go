package orderlease

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

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
// After the store came back from a copy, its record may name a box that was not the last that gave orders, and the lease
// may be gained while the holder of the epoch before still acts. Until a holder has written its name in the new epoch,
// it therefore waits for as long as a holder of the epoch before could act and its orders arrive, counted from when this
// box learned of the new epoch. If this box itself gave the last orders, it need not wait for itself; see
// gaveLastOrders.
//
// Only when the waits are known does the new holder write its name into the store and allow orders. A box that is
// killed before that leaves the former holder's name for the next holder.
//
// The holder writes the record under each of its terms, also if its name is in it already. A write of an earlier holder
// whose answer was lost may still be done while the record has the revision that it expects, and would name a box that
// did not give the last orders. Once the holder has written, no earlier write can be done.
type handover struct {
	store kv.Store
	// key is that of the last holder's record, and leaseKey that of the lease.
	key, leaseKey string
	name          string
	// orderGap is how long orders of two boxes to one engine must be apart.
	orderGap time.Duration
	// maxActing is the longest time that a holder acts after a renewal.
	maxActing time.Duration
	started   time.Time
	addressOf func(name string) (address string, ok bool)
	client    *peer.Client
	log       *zap.Logger
	lease     heldLease

	mu    sync.Mutex
	epoch epochState
	// term is the term that this box holds, 0 if none. ordersAllowed reports whether orders may be given under it,
	// after waitEnds.
	term          int64
	ordersAllowed bool
	waitEnds      waitEnds
	// waitEndsKnown reports whether this process has set waitEnds after a former holder.
	waitEndsKnown bool
	// unreadableRevision is the revision of the last holder's record that was last logged as unreadable.
	unreadableRevision int64
	// unrecordedTerm is the latest term for which a failed write of the record was logged.
	unrecordedTerm int64
}

// heldLease is what a handover uses of the lease that it is for.
type heldLease struct {
	// raiseTerm raises the term above another one, lastRenewal returns when the lease was last renewed, and outlived
	// reports whether the store came back from a copy since it was granted.
	raiseTerm   func(term, above int64) int64
	lastRenewal func() time.Time
	outlived    func() bool
	// gainedAt returns the store's revision at which the lease was gained.
	gainedAt func() int64
	// highestTerm returns the highest term that other boxes reported.
	highestTerm func() int64
	ttl         time.Duration
}

// newHandover returns a handover without a term; maxActing is the longest time that a holder acts after a renewal.
func newHandover(config Config, maxActing time.Duration) *handover {
	return &handover{
		store:     config.Store,
		key:       config.OwnPrefix + lastHolderKey,
		leaseKey:  config.OwnPrefix + leaseKey,
		name:      config.Name,
		orderGap:  config.OrderGap,
		maxActing: maxActing,
		started:   time.Now(),
		addressOf: config.Peers.AddressOf,
		client:    config.Client,
		log:       config.Log,
		waitEnds:  waitEnds{byEngine: map[string]time.Time{}},

		lease: heldLease{
			raiseTerm:   func(term, above int64) int64 { return max(term, above+1) },
			lastRenewal: func() time.Time { return time.Time{} },
			outlived:    func() bool { return false },
			gainedAt:    func() int64 { return math.MaxInt64 },
			highestTerm: config.Peers.HighestTerm,
			ttl:         config.TTL,
		},
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
	lastRenewal := h.lease.lastRenewal()
	h.mu.Lock()
	h.term, h.ordersAllowed = term, false
	if term == 0 {
		h.epoch.lastRenewal = lastRenewal
	}
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
		done := h.tryTakeover(ctx, &term, gained)
		cancel()
		if done {
			return
		}
		time.Sleep(retryPause)
	}
}

// raise raises the term above another one, if this box still holds it.
func (h *handover) raise(term *int64, above int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != *term || above < *term {
		return
	}
	if raised := h.lease.raiseTerm(*term, above); raised != 0 {
		h.log.Info("term raised", zap.Int64("term", raised), zap.Int64("from", *term))
		h.term, *term = raised, raised
	}
}

// tryTakeover takes over if it is known from when each engine may be given orders, and reports whether it did. It
// returns false after an error of the store, and run calls it again. pkg/mirror logs that the store is unreachable.
// It raises the term above those of former holders.
func (h *handover) tryTakeover(ctx context.Context, term *int64, gained time.Time) bool {
	h.noteEpoch()
	if h.lease.outlived() {
		return false // The lease is contended for again.
	}
	record, err := h.store.Get(ctx, h.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return false
	}
	var former holderRecord
	if err == nil {
		former = h.decodeHolder(record)
	}
	if former.Name != h.name && record.Revision > h.lease.gainedAt() && !h.stillHeld(ctx) {
		return false // A later holder wrote it. The next renewal shows that this box lost the lease.
	}
	epoch := h.currentEpoch()
	after, ok := h.waitEndsIn(ctx, epoch, term, former, gained)
	if !ok || h.lease.outlived() {
		return false
	}
	// The wait ends are stored before the swap: if it takes effect but its answer is lost, the next try finds this
	// box's own name and needs them.
	h.setWaitEnds(after)
	own := former.Name == h.name && former.Epoch == epoch
	written := own && former.Term == *term && record.Revision > h.lease.gainedAt()
	if !written {
		next := holderRecord{Name: h.name, Settled: own && former.Settled, Term: *term, Epoch: epoch}
		if err := h.writeHolder(ctx, record.Revision, next); err != nil {
			h.logUnrecorded(*term, record.Revision, err)
			return false
		}
	}
	h.allowOrders(*term, former, record.Revision)
	return true
}

// waitEndsIn returns from when each engine may be given orders in an epoch of the store, and raises the term above those
// of former holders. ok is false as long as that is not known.
func (h *handover) waitEndsIn(ctx context.Context, epoch int64, term *int64, former holderRecord, gained time.Time) (after waitEnds, ok bool) {
	above := former.Term
	if former.Name == h.name {
		above-- // This box may give orders under the term that it recorded itself.
	}
	h.raise(term, above)
	outdated := former.Epoch != epoch
	after, ok = h.waitEndsAfter(ctx, term, former, outdated, gained)
	if outdated {
		after, ok = h.waitForEpochBefore(after, ok)
		h.raise(term, h.lease.highestTerm())
	}
	return after, ok
}

// holds reports whether this box still holds the lease under a term.
func (h *handover) holds(term int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term == term
}

// stillHeld reports whether the lease's key is still as this box wrote it. A record of another box that is newer than the
// key was then written late by an earlier holder.
func (h *handover) stillHeld(ctx context.Context) bool {
	key, err := h.store.Get(ctx, h.leaseKey)
	return err == nil && key.Revision == h.lease.gainedAt()
}

// allowOrders allows orders under a term, to each engine after its wait end. It does nothing if the term was lost. former
// and revision are those of the record of the holder before.
func (h *handover) allowOrders(term int64, former holderRecord, revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != term {
		return
	}
	h.ordersAllowed, h.epoch.gaveOrders, h.epoch.ordersIn = true, true, h.epoch.number
	go h.recordSettled(term)
	h.log.Info("orders may begin",
		zap.Int64("term", term),
		zap.Duration("wait", max(0, time.Until(h.waitEnds.others))),
		zap.Int("engines", len(h.waitEnds.byEngine)),
		zap.String("basis", string(h.waitEnds.basis)),
		zap.String("former", former.Name),
		zap.Int64("formerTerm", former.Term),
		zap.Int64("formerRevision", kv.SequenceOf(revision)),
		zap.Int64("gainedRevision", kv.SequenceOf(h.lease.gainedAt())))
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
