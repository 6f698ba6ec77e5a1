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

// handover keeps a new holder of the order lease from giving an engine orders before those of the
// former holder are surely over. When orders may begin:
//
//   - The box that gave orders last is this one: at once, but for the waits that it is still under. The
//     record of its name says when they are over. A process that starts again before that has lost them;
//     another box's last order was before its start, so all engines wait for the order gap from there.
//   - The former holder answers the yield call: it has stopped, and each engine may be given orders
//     the order gap after the last order that it reports.
//   - The former holder's address refuses the connection: no process of it lives, so its last order
//     was before this moment. All engines wait for the order gap.
//   - The former holder can't be asked: the lease it may think it holds has to run out, and then the
//     order gap to pass, both from when the new holder gained the lease. It is asked again and
//     again meanwhile, because a box that was frozen or cut off comes back.
//
// Only then does the new holder write its name into the store and give orders; a box that is killed
// before that leaves the former holder's name for the next one.
type handover struct {
	store kv.Store
	key   string
	name  string
	// gap is how long orders of two boxes to one engine must be apart.
	gap time.Duration
	// actsFor is the longest time that a holder acts after a renewal.
	actsFor   time.Duration
	started   time.Time
	addressOf func(name string) (address string, ok bool)
	client    *peer.Client
	log       *zap.Logger

	mu sync.Mutex
	// term that is held, 0 if none; begun means that orders may be given under it.
	term  int64
	begun bool
	waits waits
	// waitsKnown reports that waits are those after the former holder, as this process learned them.
	waitsKnown bool
	// unreadable is the revision of the last holder's record that was logged as unreadable.
	unreadable int64
}

// waits are the times from which engines may be given orders.
type waits struct {
	byEngine map[string]time.Time
	// others is for all engines that are not in byEngine.
	others time.Time
}

// newHandover returns a handover without a term; actsFor is the longest time that a holder acts
// after a renewal.
func newHandover(config Config, actsFor time.Duration) *handover {
	return &handover{
		store:     config.Store,
		key:       config.OwnPrefix + lastHolderKey,
		name:      config.Name,
		gap:       config.OrderGap,
		actsFor:   actsFor,
		started:   time.Now(),
		addressOf: config.Peers.AddressOf,
		client:    config.Client,
		log:       config.Log,
		waits:     waits{byEngine: map[string]time.Time{}},
	}
}

const (
	// tryTimeout bounds one try to take over.
	tryTimeout = time.Second
	// tryPause is the pause between two tries.
	tryPause = 150 * time.Millisecond
)

// changed is called when the lease is gained (term above 0) or lost.
func (h *handover) changed(term int64) {
	h.mu.Lock()
	h.term, h.begun = term, false
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
	for h.current(term) {
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		over := h.try(ctx, term, gained)
		cancel()
		if over {
			return
		}
		time.Sleep(tryPause)
	}
}

// try takes over if orders may begin, now or at each engine's time, and returns whether they do.
// Failures of the store are tried again; the copy of the store logs its loss.
func (h *handover) try(ctx context.Context, term int64, gained time.Time) bool {
	record, err := h.store.Get(ctx, h.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return false
	}
	var former holderRecord
	if err == nil {
		former = h.decode(record)
	}
	if former.Name == h.name {
		h.resume(term, former.Settled)
		return true
	}
	after, ok := h.waitsAfter(ctx, term, former.Name, gained)
	if !ok {
		return false
	}
	// They are kept before the swap: if it takes effect and its answer is lost, the next try finds
	// this box's own name.
	h.keep(after)
	if h.write(ctx, record.Revision, holderRecord{Name: h.name}) != nil {
		return false
	}
	h.begin(term)
	return true
}

// waitsAfter finds out when the former holder's orders are over, engine by engine; ok is false as
// long as that is not known.
func (h *handover) waitsAfter(ctx context.Context, term int64, former string, gained time.Time) (after waits, ok bool) {
	if address, known := h.addressOf(former); known {
		answer, err := h.askYield(ctx, address, term)
		now := time.Now()
		switch {
		case err == nil:
			return h.waitsAfterYield(answer, now), true
		case errors.Is(err, syscall.ECONNREFUSED):
			return waits{others: now.Add(h.gap)}, true
		}
		// Any other failure is tried again: the box may be frozen or cut off.
	}
	if over := gained.Add(h.actsFor + h.gap); time.Now().After(over) {
		return waits{others: over}, true
	}
	return waits{}, false
}

// askYield asks the former holder to stop giving orders.
func (h *handover) askYield(ctx context.Context, address string, term int64) (yieldAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, cluster.CallTimeout)
	defer cancel()
	return peer.Call[yieldAnswer](callCtx, h.client, address, methodYield, yieldRequest{Term: term, To: h.name})
}

// waitsAfterYield are the waits after a former holder that has stopped.
func (h *handover) waitsAfterYield(answer yieldAnswer, now time.Time) waits {
	after := waits{byEngine: make(map[string]time.Time, len(answer.Ages)), others: now.Add(h.gap - answer.Others)}
	for engine, age := range answer.Ages {
		after.byEngine[engine] = now.Add(h.gap - age)
	}
	return after
}

func (h *handover) current(term int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term == term
}

// keep takes the waits after a former holder. They hold until those after another one replace them.
func (h *handover) keep(after waits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waits, h.waitsKnown = after, true
}

// resume begins after a record of this box's own name, which settled reports to be without waits.
// Otherwise a process that knows none takes the longest that an earlier one may have been under: a
// holder that is killed soon after its takeover and starts again would give engines orders while those
// of the box before it may still arrive.
func (h *handover) resume(term int64, settled bool) {
	h.mu.Lock()
	known := h.waitsKnown || settled
	h.mu.Unlock()
	if !known {
		h.keep(waits{others: h.started.Add(h.gap)})
	}
	h.begin(term)
}

// begin allows orders under a term, after the waits that are kept.
func (h *handover) begin(term int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != term {
		return
	}
	h.begun = true
	go h.settle(term)
	h.log.Info("orders may begin",
		zap.Int64("term", term),
		zap.Duration("wait", max(0, time.Until(h.waits.others))),
		zap.Int("engines", len(h.waits.byEngine)))
}

// done reports whether orders may be given under a term.
func (h *handover) done(term int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term == term && h.begun
}

// notBefore is when an engine may be given orders.
func (h *handover) notBefore(engine string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, ok := h.waits.byEngine[engine]; ok {
		return at
	}
	return h.waits.others
}

// lastOrders returns how long ago engines were given orders, by this box (ages) or the ones before
// it.
func (h *handover) lastOrders(ages map[string]time.Duration) yieldAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	answer := yieldAnswer{Ages: ages, Others: now.Sub(h.started)}
	if !h.waits.others.IsZero() {
		answer.Others = min(answer.Others, h.gap-h.waits.others.Sub(now))
	}
	for engine, at := range h.waits.byEngine {
		age := h.gap - at.Sub(now)
		if known, ok := ages[engine]; !ok || age < known {
			ages[engine] = min(age, now.Sub(h.started))
		}
	}
	return answer
}
