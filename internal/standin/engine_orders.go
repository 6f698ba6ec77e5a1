package standin

import (
	"context"
	"errors"
	"fmt"
	"sort"

	"connectrpc.com/connect"

	"ospreymoor.example/ospreymoor/internal/engine"
	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
)

// errLeaving is the error by which a draining engine refuses requests.
var errLeaving = errors.New(engine.ReasonLeaving)

// Load starts to load an item, unless it is resident or loading.
func (e *Engine) Load(ctx context.Context, r *connect.Request[enginev1.LoadRequest]) (*connect.Response[enginev1.LoadResponse], error) {
	if err := e.lockForOrder(ctx, "load", r.Msg.GetAuthority()); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	item := r.Msg.GetItem()
	if e.resident[item.GetName()] == nil && e.loading[item.GetName()] == nil {
		e.loading[item.GetName()] = item
		e.record.Loads++
		e.countOvercommitment()
		go e.fetch(e.incarnation, item)
	}
	return connect.NewResponse(&enginev1.LoadResponse{}), nil
}

// Unload frees an item, or fails if a request uses it.
func (e *Engine) Unload(ctx context.Context, r *connect.Request[enginev1.UnloadRequest]) (*connect.Response[enginev1.UnloadResponse], error) {
	if err := e.lockForOrder(ctx, "unload", r.Msg.GetAuthority()); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	name := r.Msg.GetName()
	for id, run := range e.runs {
		if !run.ended && (run.model == name || run.adapter == name) {
			return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("request %s uses %s", id, name))
		}
	}
	delete(e.resident, name)
	return connect.NewResponse(&enginev1.UnloadResponse{}), nil
}

// SetRole changes the engine's role.
func (e *Engine) SetRole(ctx context.Context, r *connect.Request[enginev1.SetRoleRequest]) (*connect.Response[enginev1.SetRoleResponse], error) {
	if err := e.lockForOrder(ctx, "role", r.Msg.GetAuthority()); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	e.role = r.Msg.GetRole()
	return connect.NewResponse(&enginev1.SetRoleResponse{}), nil
}

// Fence raises the term and returns the engine's state.
func (e *Engine) Fence(ctx context.Context, r *connect.Request[enginev1.FenceRequest]) (*connect.Response[enginev1.FenceResponse], error) {
	if err := e.lockForOrder(ctx, "fence", r.Msg.GetAuthority()); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	return connect.NewResponse(&enginev1.FenceResponse{State: e.state()}), nil
}

// State returns the engine's state.
func (e *Engine) State(context.Context, *connect.Request[enginev1.StateRequest]) (*connect.Response[enginev1.StateResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return connect.NewResponse(e.state()), nil
}

// lockForOrder checks the authority of an order. If it returns no error, it has locked e.mu, and the caller
// unlocks it.
func (e *Engine) lockForOrder(ctx context.Context, name string, authority *enginev1.Authority) error {
	if e.OnOrder != nil {
		if err := e.OnOrder(ctx, name); err != nil {
			return err
		}
	}
	e.mu.Lock()
	if !e.Fenced {
		return nil
	}
	term, sequence := authority.GetTerm(), authority.GetSequence()
	if term < e.term {
		defer e.mu.Unlock()
		return connect.NewError(connect.CodePermissionDenied, fmt.Errorf("term %d, seen %d", term, e.term))
	}
	if term == e.term && sequence <= e.sequence {
		defer e.mu.Unlock()
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("sequence %d, seen %d", sequence, e.sequence))
	}
	e.term, e.sequence = term, sequence
	return nil
}

// fetch loads an item's weights and makes it resident, unless the engine was restarted in the meantime. After
// a failed load the item is absent, as on real engines; the sender of the order sees that in the state.
func (e *Engine) fetch(incarnation string, item *enginev1.Item) {
	var err error
	if e.Fetch != nil {
		err = e.Fetch(context.Background(), item.GetBytes())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return
	}
	delete(e.loading, item.GetName())
	if err == nil {
		e.resident[item.GetName()] = item
	}
}

// countOvercommitment increments Overcommitted if the resident and loading items exceed the memory. The caller holds
// the lock.
func (e *Engine) countOvercommitment() {
	var bytes int64
	for _, item := range e.resident {
		bytes += item.GetBytes()
	}
	for _, item := range e.loading {
		bytes += item.GetBytes()
	}
	if bytes > e.Memory {
		e.record.Overcommitted++
	}
}

func (e *Engine) state() *enginev1.StateResponse {
	return &enginev1.StateResponse{
		Incarnation:   e.incarnation,
		CapacityBytes: e.Memory,
		Resident:      sortedItems(e.resident),
		Loading:       sortedItems(e.loading),
		Running:       int32(e.running),
		Queued:        int32(e.queue.Len()),
		Slots:         int32(e.Slots),
		Leaving:       e.leaving,
		Role:          e.role,
		Term:          e.term,
	}
}

func sortedItems(items map[string]*enginev1.Item) []*enginev1.Item {
	sorted := make([]*enginev1.Item, 0, len(items))
	for _, item := range items {
		sorted = append(sorted, item)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].GetName() < sorted[j].GetName() })
	return sorted
}
