package orders

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/placement"
)

// ordersPerLook bounds how many orders follow each other before the engine is looked at anew.
const ordersPerLook = 16

// worker brings one engine to what the plan wants, one order at a time.
type worker struct {
	*Controller
	engine Engine
	// fenced is the term that the engine has confirmed, 0 if none.
	fenced      int64
	sequence    int64
	incarnation string
}

// order is a load, or an unload if item has no bytes.
type order struct {
	load bool
	item placement.Item
}

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

// step looks at the engine and sends at most one order; it tells whether one took effect.
func (w *worker) step(ctx context.Context) bool {
	term, ok := w.term()
	if !ok {
		w.fenced = 0
		w.watchOnly(ctx)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, w.OrderTime)
	defer cancel()
	if err := w.begin(ctx, term); err != nil {
		w.count("take over", err)
		return false
	}
	// The plan is read before the state: what the state shows, later orders under this
	// plan or a newer one change, but none under an older one.
	plan, _ := w.Plan()
	state, err := w.truth(ctx, term)
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

// watchOnly looks at an engine that may not be ordered now, if this box still publishes.
func (w *worker) watchOnly(ctx context.Context) {
	if _, ok := w.publishTerm(); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.OrderTime)
	defer cancel()
	if state, err := w.engine.State(ctx); err == nil {
		w.observe(w.engine.ID, state, 0)
	}
}

// term is what this box may order under now. An engine that does not check it
// takes orders only under a lease that is valid now.
func (w *worker) term() (int64, bool) {
	if term, err := w.Term(); err == nil {
		return term, true
	}
	if term := w.RepairTerm(); w.engine.Fenced && term != 0 {
		return term, true
	}
	return 0, false
}

// truth returns a state that no order of another controller can change any more:
// for a fenced engine by raising its fence first.
func (w *worker) truth(ctx context.Context, term int64) (State, error) {
	if !w.engine.Fenced {
		return w.engine.State(ctx)
	}
	if w.fenced == term {
		state, err := w.engine.State(ctx)
		if err != nil || (state.Incarnation == w.incarnation && state.Term == term) {
			return state, err
		}
	}
	return w.raiseFence(ctx, term)
}

func (w *worker) raiseFence(ctx context.Context, term int64) (State, error) {
	w.fenced = 0
	state, err := w.engine.Fence(ctx, w.next(term))
	if err != nil {
		return state, err
	}
	w.fenced, w.incarnation = term, state.Incarnation
	return state, nil
}

func (w *worker) next(term int64) Authority {
	w.sequence++
	return Authority{Term: term, Sequence: w.sequence}
}

// stepFenced sends the next order. After any doubt the fence is raised again, which makes
// the doubtful order impossible and returns the truth.
func (w *worker) stepFenced(ctx context.Context, term int64, plan placement.Plan, state State) bool {
	o, ok := w.nextOrder(plan, state, itemBytes(state.Resident)+itemBytes(state.Loading))
	if !ok {
		return false
	}
	err := w.send(ctx, w.next(term), o)
	if err != nil && !errors.Is(err, ErrRefused) {
		w.fenced = 0
	}
	return err == nil
}

// stepUnfenced sends the next order after it was written down as an intent. While an earlier
// intent is unsettled no other order is sent: its memory stays reserved.
func (w *worker) stepUnfenced(ctx context.Context, term int64, plan placement.Plan, state State) bool {
	settled, err := w.intents.settle(ctx, w.engine.ID, term, state)
	if err != nil || !settled {
		// An unload of an older plan may still take effect: vouch for no plan.
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
	// The write took time: the lease must still be ours now.
	if now, err := w.Term(); err != nil || now != term {
		return false
	}
	err = w.send(ctx, w.next(term), o)
	w.intents.sent(context.WithoutCancel(ctx), id, errors.Is(err, ErrRefused))
	return err == nil
}

// nextOrder chooses a load that fits, or an unload that makes room for one. Items that the
// plan no longer wants stay until their room is needed: they may be wanted again.
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
		if unwanted, ok := w.unwanted(plan, state, wanted); ok {
			return order{item: unwanted}, true
		}
	}
	return order{}, false
}

// unwanted chooses the largest resident item that the plan does not want here and that may go.
func (w *worker) unwanted(plan placement.Plan, state State, wanted []placement.Item) (placement.Item, bool) {
	resident := append([]placement.Item(nil), state.Resident...)
	sort.SliceStable(resident, func(i, j int) bool { return resident[i].Bytes > resident[j].Bytes })
	for _, item := range resident {
		if !hasItem(wanted, item.Name) && w.MayUnload(plan, w.engine.ID, item.Name) {
			return item, true
		}
	}
	return placement.Item{}, false
}

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
	w.Set.GetOrCreateCounter(fmt.Sprintf("ospreymoor_orders_total{order=%q,result=%q}", call, result)).Inc()
}
