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

// errLeaving refuses requests at an engine that leaves.
var errLeaving = errors.New(engine.ReasonLeaving)

// Load begins to load an item, unless it is resident or loading.
func (e *Engine) Load(ctx context.Context, r *connect.Request[enginev1.LoadRequest]) (*connect.Response[enginev1.LoadResponse], error) {
	if err := e.order(ctx, "load", r.Msg.GetAuthority()); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	item := r.Msg.GetItem()
	if e.resident[item.GetName()] == nil && e.loading[item.GetName()] == nil {
		e.loading[item.GetName()] = item
		e.record.Loads++
		e.noteMemory()
		go e.fetch(e.incarnation, item)
	}
	return connect.NewResponse(&enginev1.LoadResponse{}), nil
}

// Unload frees an item, unless a request uses it.
func (e *Engine) Unload(ctx context.Context, r *connect.Request[enginev1.UnloadRequest]) (*connect.Response[enginev1.UnloadResponse], error) {
	if err := e.order(ctx, "unload", r.Msg.GetAuthority()); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	name := r.Msg.GetName()
	for id, run := range e.runs {
		if !run.done && (run.model == name || run.adapter == name) {
			return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("request %s uses %s", id, name))
		}
	}
	delete(e.resident, name)
	return connect.NewResponse(&enginev1.UnloadResponse{}), nil
}

// SetRole changes the role.
func (e *Engine) SetRole(ctx context.Context, r *connect.Request[enginev1.SetRoleRequest]) (*connect.Response[enginev1.SetRoleResponse], error) {
	if err := e.order(ctx, "role", r.Msg.GetAuthority()); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	e.role = r.Msg.GetRole()
	return connect.NewResponse(&enginev1.SetRoleResponse{}), nil
}

// Fence raises the term and reports the state.
func (e *Engine) Fence(ctx context.Context, r *connect.Request[enginev1.FenceRequest]) (*connect.Response[enginev1.FenceResponse], error) {
	if err := e.order(ctx, "fence", r.Msg.GetAuthority()); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	return connect.NewResponse(&enginev1.FenceResponse{State: e.state()}), nil
}

// State reports the state.
func (e *Engine) State(context.Context, *connect.Request[enginev1.StateRequest]) (*connect.Response[enginev1.StateResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return connect.NewResponse(e.state()), nil
}

// order checks the authority of an order. It returns with the lock held if it returns no error.
func (e *Engine) order(ctx context.Context, name string, authority *enginev1.Authority) error {
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

// fetch loads an item's weights and makes it resident, unless the engine was restarted meanwhile.
// A failed fetch leaves the item absent, as engines do: whoever ordered it finds that in the state.
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

// noteMemory counts an overcommitment. The caller holds the lock.
func (e *Engine) noteMemory() {
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
