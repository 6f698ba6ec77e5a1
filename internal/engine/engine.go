// Package engine speaks to a model engine over Connect. It is the one place that knows
// the engines' protocol: engines with another protocol need another such file.
package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1/enginev1connect"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// Kinds of failure of a request.
const (
	// ErrNotStarted: the engine refused the request, or nothing reached it.
	ErrNotStarted = errors.ConstError("engine did not start the request: send it to another")
	// ErrLeaving: the engine takes nothing new; it did not start the request.
	ErrLeaving = errors.ConstError("engine is leaving: send the request to another")
	// ErrNoRun: the engine knows no run of this id.
	ErrNoRun = errors.ConstError("engine knows no such request: cancel its id before it is sent elsewhere")
	// ErrBrokenOff: the answer broke off; the run may go on.
	ErrBrokenOff = errors.ConstError("answer broke off: resume it")
	// ErrForeign: what came belongs to another request or leaves a gap; it was thrown away.
	ErrForeign = errors.ConstError("engine sent what is not this request's: resume it")
)

// ReasonLeaving is the text by which an engine says that it leaves.
const ReasonLeaving = "leaving"

// Request is one run on an engine.
type Request struct {
	ID        string
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens uint32
	Priority  int32
}

// Client is one engine.
type Client struct {
	box    membership.Box
	engine enginev1connect.EngineServiceClient
}

// NewClient returns a client of the engine on a box.
func NewClient(http *http.Client, box membership.Box) *Client {
	// Answers come in pieces of a few bytes, which are not worth compressing.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	return &Client{box: box, engine: enginev1connect.NewEngineServiceClient(http, "http://"+box.Address, plain)}
}

// Generate starts a run and hands its pieces to take in order, from index 0.
func (c *Client) Generate(ctx context.Context, r Request, take func(index uint32, text string) error) error {
	stream, err := c.engine.Generate(ctx, connect.NewRequest(&enginev1.GenerateRequest{
		RequestId: r.ID,
		Model:     r.Model,
		Adapter:   r.Adapter,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Priority:  r.Priority,
	}))
	if err != nil {
		return requestError(err)
	}
	return receive(stream, r.ID, 0, take)
}

// Resume hands on the pieces of a run that was started, from an offset on.
func (c *Client) Resume(ctx context.Context, id string, offset uint32, take func(index uint32, text string) error) error {
	request := &enginev1.ResumeRequest{RequestId: id, Offset: offset}
	stream, err := c.engine.Resume(ctx, connect.NewRequest(request))
	if err == nil {
		err = receive(stream, id, offset, take)
	} else {
		err = requestError(err)
	}
	return resumeError(err)
}

// Cancelled is what an engine tells when it cancels a run.
type Cancelled struct {
	// Started tells whether this incarnation had ever started the run.
	Started     bool
	Incarnation string
}

// Cancel ends a run and has the engine refuse its id from then on.
func (c *Client) Cancel(ctx context.Context, id string) (Cancelled, error) {
	answer, err := c.engine.Cancel(ctx, connect.NewRequest(&enginev1.CancelRequest{RequestId: id}))
	if err != nil {
		return Cancelled{}, errors.Trace(err)
	}
	return Cancelled{Started: answer.Msg.GetStarted(), Incarnation: answer.Msg.GetIncarnation()}, nil
}

// receive checks that each message is the request's own and the next in order, up to the
// closing one, whose index is the count of pieces.
func receive(stream *connect.ServerStreamForClient[enginev1.GenerateResponse], id string, next uint32, take func(uint32, string) error) error {
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		message := stream.Msg()
		if message.GetRequestId() != id || message.GetIndex() != next {
			return errors.Annotatef(ErrForeign, "request %s piece %d, expected %s piece %d", message.GetRequestId(), message.GetIndex(), id, next)
		}
		if message.GetLast() {
			return nil
		}
		if err := take(next, message.GetText()); err != nil {
			return err
		}
		next++
	}
	err := stream.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return requestError(err)
}

// requestError sorts a failure by what it says about the run.
func requestError(err error) error {
	var answer *connect.Error
	if !errors.As(err, &answer) || !connect.IsWireError(err) {
		return transportError(err)
	}
	switch answer.Code() {
	case connect.CodeUnavailable:
		if answer.Message() == ReasonLeaving {
			return fmt.Errorf("%w: %w", err, ErrLeaving)
		}
		return fmt.Errorf("%w: %w", err, ErrNotStarted)
	case connect.CodeNotFound:
		return fmt.Errorf("%w: %w", err, ErrNoRun)
	case connect.CodeFailedPrecondition, connect.CodeResourceExhausted, connect.CodeInvalidArgument:
		return fmt.Errorf("%w: %w", err, ErrNotStarted)
	default:
		return fmt.Errorf("%w: %w", err, ErrBrokenOff)
	}
}

// resumeError takes from a failed resumption what it might seem to say of the run: an engine
// that can't be reached now, or refuses now, may well have started it before.
func resumeError(err error) error {
	if errors.Is(err, ErrNotStarted) || errors.Is(err, ErrLeaving) {
		return errors.Annotatef(ErrBrokenOff, "resuming: %v", err)
	}
	return err
}

// Order returns the engine as the hall's controller orders it.
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

// orderError sorts a failure by whether the order may still take effect.
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
		Role:        s.GetRole(),
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
