package engine

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// Order returns the functions by which the hall's controller sends orders to the engine.
func (c *Client) Order() orders.Engine {
	return orders.Engine{
		ID:     c.box.ID,
		Fenced: c.box.Fenced,
		Fence:  c.fence,
		State:  c.state,
		Load:   c.load,
		Unload: c.unload,
	}
}

func (c *Client) fence(ctx context.Context, authority orders.Authority) (orders.State, error) {
	answer, err := c.engine.Fence(ctx, connect.NewRequest(&enginev1.FenceRequest{Authority: toAuthority(authority)}))
	if err != nil {
		return orders.State{}, orderError(err)
	}
	return fromState(answer.Msg.GetState()), nil
}

func (c *Client) state(ctx context.Context) (orders.State, error) {
	answer, err := c.engine.State(ctx, connect.NewRequest(&enginev1.StateRequest{}))
	if err != nil {
		return orders.State{}, errors.Trace(err)
	}
	return fromState(answer.Msg), nil
}

func (c *Client) load(ctx context.Context, authority orders.Authority, item placement.Item) error {
	request := &enginev1.LoadRequest{
		Authority: toAuthority(authority),
		Item:      &enginev1.Item{Name: item.Name, Base: item.Base, Bytes: item.Bytes},
	}
	_, err := c.engine.Load(ctx, connect.NewRequest(request))
	return orderError(err)
}

func (c *Client) unload(ctx context.Context, authority orders.Authority, name string) error {
	request := &enginev1.UnloadRequest{Authority: toAuthority(authority), Name: name}
	_, err := c.engine.Unload(ctx, connect.NewRequest(request))
	return orderError(err)
}

// orderError adds the kind of error to the error of a failed order. An order whose error has no kind may
// still take effect.
func orderError(err error) error {
	if err == nil {
		return nil
	}
	if !connect.IsWireError(err) {
		return errors.Trace(err)
	}
	switch connect.CodeOf(err) {
	case connect.CodePermissionDenied:
		return fmt.Errorf("%w: %w", err, orders.ErrFenced)
	case connect.CodeFailedPrecondition, connect.CodeResourceExhausted, connect.CodeInvalidArgument:
		return fmt.Errorf("%w: %w", err, orders.ErrRefused)
	default:
		return errors.Trace(err)
	}
}

func toAuthority(a orders.Authority) *enginev1.Authority {
	return &enginev1.Authority{Term: a.Term, Sequence: a.Sequence}
}

func fromState(s *enginev1.StateResponse) orders.State {
	return orders.State{
		Incarnation: s.GetIncarnation(),
		Capacity:    s.GetCapacityBytes(),
		Resident:    fromItems(s.GetResident()),
		Loading:     fromItems(s.GetLoading()),
		Running:     int(s.GetRunning()),
		Queued:      int(s.GetQueued()),
		Slots:       int(s.GetSlots()),
		Leaving:     s.GetLeaving(),
		Term:        s.GetTerm(),
	}
}

func fromItems(items []*enginev1.Item) []placement.Item {
	result := make([]placement.Item, 0, len(items))
	for _, item := range items {
		result = append(result, placement.Item{Name: item.GetName(), Base: item.GetBase(), Bytes: item.GetBytes()})
	}
	return result
}
