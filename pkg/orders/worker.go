package orders

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/placement"
)

// worker brings the items of one engine in line with the plan, one order at a time.
type worker struct {
	*Controller
	engine Engine
	// fencedTerm is the term that the engine has confirmed, 0 if none or if that is uncertain.
	fencedTerm int64
	// sequence is the sequence number of the last order.
	sequence int64
	// incarnation is that of the engine when it confirmed fencedTerm.
	incarnation string
}

// order is an order to load an item, or to unload it.
type order struct {
	load bool
	item placement.Item
}

// run polls the engine and sends it orders until ctx ends.
//
// Retry: whatever failed is retried at the next poll, always one Interval later. The pause does not
// grow: a worker has at most one call to its engine in flight, so a failing engine gets one call per
// Interval, and a longer pause would leave its models unloaded for longer after it is back.
func (w *worker) run(ctx context.Context) {
	for {
		for range maxOrderBurst {
			if !w.step(ctx) {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.Interval):
		}
	}
}

// step polls the engine and sends at most one order; it reports whether the engine accepted one.
func (w *worker) step(ctx context.Context) bool {
	term, ok := w.orderTerm()
	if !ok {
		w.fencedTerm = 0
		w.observeOnly(ctx)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := w.ensureTakenOver(ctx, term); err != nil {
		w.count("take over", err)
		return false
	}
	// The plan is read before the state: only orders under this plan or a newer one can change
	// what the state shows. Without a plan nothing is loaded or unloaded.
	plan, _ := w.Plan()
	state, err := w.confirmedState(ctx, term)
	if err != nil {
		w.count("state", err)
		return false
	}
	if w.engine.Fenced {
		w.observe(w.engine.ID, state, plan.Number)
		return w.stepFenced(ctx, term, plan, state)
	}
	return w.stepUnfenced(ctx, term, plan, state)
}

// observeOnly polls an engine that may not be sent orders now, if this box still publishes.
// A failure is not counted: the engine's load is no longer published after maxAnswerAgeIntervals.
func (w *worker) observeOnly(ctx context.Context) {
	if _, ok := w.publishTerm(); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if state, err := w.engine.State(ctx); err == nil {
		w.observe(w.engine.ID, state, 0)
	}
}

// orderTerm returns the term under which this box may send orders to the engine now, false if it may
// not. An unfenced engine gets orders only under a lease that is valid now. A fenced engine also gets
// them under the last term while the store is unreachable, because it refuses them as soon as it has
// seen a higher term.
func (w *worker) orderTerm() (int64, bool) {
	if term, err := w.Term(); err == nil {
		return term, true
	}
	if term := w.RepairTerm(); w.engine.Fenced && term != 0 {
		return term, true
	}
	return 0, false
}

// confirmedState returns the engine's state. For a fenced engine, it raises the fence first unless the
// engine has confirmed this term, so that no order of a former controller can change the state later.
func (w *worker) confirmedState(ctx context.Context, term int64) (State, error) {
	if !w.engine.Fenced {
		return w.engine.State(ctx)
	}
	if w.fencedTerm == term {
		state, err := w.engine.State(ctx)
		if err != nil || (state.Incarnation == w.incarnation && state.Term == term) {
			return state, err
		}
	}
	return w.raiseFence(ctx, term)
}

func (w *worker) raiseFence(ctx context.Context, term int64) (State, error) {
	w.fencedTerm = 0
	state, err := w.engine.Fence(ctx, w.nextAuthority(term))
	if err != nil {
		return state, err
	}
	w.fencedTerm, w.incarnation = term, state.Incarnation
	return state, nil
}

func (w *worker) nextAuthority(term int64) Authority {
	w.sequence++
	return Authority{Term: term, Sequence: w.sequence}
}

// stepFenced sends the next order. After an error that leaves its effect uncertain, the next step
// raises the fence again: the engine then refuses the order, and answers with its state.
func (w *worker) stepFenced(ctx context.Context, term int64, plan placement.Plan, state State) bool {
	o, ok := w.nextOrder(plan, state, itemBytes(state.Resident)+itemBytes(state.Loading))
	if !ok {
		return false
	}
	err := w.send(ctx, w.nextAuthority(term), o)
	if err != nil && !errors.Is(err, ErrRefused) {
		w.fencedTerm = 0
	}
	return err == nil
}

// stepUnfenced stores the next order as an intent, then sends it. While an earlier intent is
// unsettled, no other order is sent: the memory of its item stays reserved.
func (w *worker) stepUnfenced(ctx context.Context, term int64, plan placement.Plan, state State) bool {
	settled, err := w.intents.settle(ctx, w.engine.ID, term, state)
	if err != nil || !settled {
		// An unload under an older plan may still take effect: no plan is confirmed.
		w.observe(w.engine.ID, state, 0)
		w.count("settle", err)
		return false
	}
	w.observe(w.engine.ID, state, plan.Number)
	o, ok := w.nextOrder(plan, state, itemBytes(state.Resident)+itemBytes(state.Loading))
	if !ok {
		return false
	}
	id, err := w.intents.write(ctx, w.engine.ID, term, o)
	if err != nil {
		w.count("intent", err)
		return false
	}
	// The write took time: the lease must still be held now. If it is not, the intent stays until
	// it is settled, and the next step finds that the term is lost.
	if now, err := w.Term(); err != nil || now != term {
		return false
	}
	err = w.send(ctx, w.nextAuthority(term), o)
	w.intents.recordAttemptEnd(context.WithoutCancel(ctx), id, errors.Is(err, ErrRefused))
	return err == nil
}

// nextOrder returns the engine's next order: a load that fits, or an unload that frees memory for
// one; false if there is none. used is the memory of resident and loading items, in bytes.
// Items that are no longer in the plan stay until their memory is needed: a later plan may contain
// them again. One load runs at a time, and a leaving engine gets no order.
func (w *worker) nextOrder(plan placement.Plan, state State, used int64) (order, bool) {
	if state.Leaving || len(state.Loading) > 0 {
		return order{}, false
	}
	wanted := plan.On(w.engine.ID)
	for _, item := range wanted {
		if hasItem(state.Resident, item.Name) {
			continue
		}
		if used+item.Bytes <= state.Capacity {
			return order{load: true, item: item}, true
		}
		if unwanted, ok := w.unwantedItem(plan, state, wanted); ok {
			return order{item: unwanted}, true
		}
	}
	return order{}, false
}

// unwantedItem returns the largest resident item that the plan does not place on this engine and that
// may be unloaded; false if there is none.
func (w *worker) unwantedItem(plan placement.Plan, state State, wanted []placement.Item) (placement.Item, bool) {
	resident := append([]placement.Item(nil), state.Resident...)
	sort.SliceStable(resident, func(i, j int) bool { return resident[i].Bytes > resident[j].Bytes })
	for _, item := range resident {
		if !hasItem(wanted, item.Name) && w.MayUnload(plan, w.engine.ID, item.Name) {
			return item, true
		}
	}
	return placement.Item{}, false
}

// send sends one order and counts its result.
func (w *worker) send(ctx context.Context, authority Authority, o order) error {
	var err error
	if o.load {
		err = w.engine.Load(ctx, authority, o.item)
		w.count("load", err)
		return err
	}
	err = w.engine.Unload(ctx, authority, o.item.Name)
	w.count("unload", err)
	return err
}

// count counts a call by its result: ok, fenced, refused or failed.
func (w *worker) count(call string, err error) {
	result := "ok"
	switch {
	case errors.Is(err, ErrFenced):
		result = "fenced"
	case errors.Is(err, ErrRefused):
		result = "refused"
	case err != nil:
		result = "failed"
	}
	w.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_orders_total{order=%q,result=%q}", call, result)).Inc()
}
