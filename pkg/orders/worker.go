package orders

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/placement"
)

// worker brings one engine to what the plan wants, one order at a time.
type worker struct {
	*Controller
	engine Engine
	// fencedTerm is the term that the engine has confirmed, 0 if none or if it is in doubt.
	fencedTerm int64
	// sequence of the last order.
	sequence int64
	// incarnation of the engine that confirmed fencedTerm.
	incarnation string
}

// order is the load of an item, or its unload.
type order struct {
	load bool
	item placement.Item
}

// run looks at the engine and orders it until ctx ends.
//
// Retry: whatever failed is tried again at the next look, always one Interval later. The pause
// does not grow, because one worker has at most one call to its engine under way, so that a
// failing engine gets one call an Interval, and a longer pause would leave its models unloaded
// for longer after it is back.
func (w *worker) run(ctx context.Context) {
	for {
		for range ordersPerLook {
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

// step looks at the engine and sends at most one order; it reports whether one took effect.
func (w *worker) step(ctx context.Context) bool {
	term, ok := w.orderTerm()
	if !ok {
		w.fencedTerm = 0
		w.observeOnly(ctx)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := w.ensureTakenOver(ctx, term); err != nil {
		w.count("take over", err)
		return false
	}
	// The plan is read before the state: only orders under this plan or a newer one can change
	// what the state shows. Without a plan nothing is wanted, and nothing is unloaded either.
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

// observeOnly looks at an engine that may not be ordered now, if this box still publishes.
// A failure needs no count: the engine's load lapses after reportLapseIntervals.
func (w *worker) observeOnly(ctx context.Context) {
	if _, ok := w.publishTerm(); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if state, err := w.engine.State(ctx); err == nil {
		w.observe(w.engine.ID, state, 0)
	}
}

// orderTerm is the term under which this box may order the engine now. An engine that is not
// fenced is ordered only under a lease that is valid now. A fenced one is also repaired under
// the last term while the store can't be reached: a higher term ends that at the engine.
func (w *worker) orderTerm() (int64, bool) {
	if term, err := w.Term(); err == nil {
		return term, true
	}
	if term := w.RepairTerm(); w.engine.Fenced && term != 0 {
		return term, true
	}
	return 0, false
}

// confirmedState returns the engine's state. For a fenced engine its fence is raised first, if
// this term has not done so, so that no order of a former holder can change the state any more.
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

// stepFenced sends the next order. After an error that leaves its effect open, the fence is
// raised again: that makes the order impossible and returns the engine's state.
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
// unsettled no other order is sent: its memory stays reserved.
func (w *worker) stepUnfenced(ctx context.Context, term int64, plan placement.Plan, state State) bool {
	settled, err := w.intents.settle(ctx, w.engine.ID, term, state)
	if err != nil || !settled {
		// An unload of an older plan may still take effect: no plan is confirmed.
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
	// The write took time: the lease must still be held now. If not, the intent stays until it
	// is settled, and the next step finds the term lost.
	if now, err := w.Term(); err != nil || now != term {
		return false
	}
	err = w.send(ctx, w.nextAuthority(term), o)
	w.intents.sendingEnded(context.WithoutCancel(ctx), id, errors.Is(err, ErrRefused))
	return err == nil
}

// nextOrder decides the engine's next order: a load that fits, or an unload that makes room for
// one; false if there is none. used is the memory taken by items resident and loading, in bytes.
// Items that the plan no longer wants stay until their room is needed: they may be wanted again.
// One load runs at a time, and a leaving engine gets no order.
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

// unwantedItem chooses the largest resident item that the plan does not want here and that may go.
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

// count counts the result of a call by kind of error.
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
