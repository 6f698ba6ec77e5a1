package engine

import (
	"context"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
)

// Generate starts a run and passes the pieces of its answer to onPiece in order, from index 0. It returns nil
// once onPiece has received the whole answer, the error of onPiece, or an error of one of the package's kinds.
func (c *Client) Generate(ctx context.Context, r Request, onPiece func(index uint32, text string) error) error {
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
	return receive(stream, r.ID, 0, onPiece)
}

// Resume passes the pieces of a run that was started to onPiece, from an offset on. Its errors are those of
// Generate except ErrNotStarted and ErrLeaving, since the run was started.
func (c *Client) Resume(ctx context.Context, id string, offset uint32, onPiece func(index uint32, text string) error) error {
	request := &enginev1.ResumeRequest{RequestId: id, Offset: offset}
	stream, err := c.engine.Resume(ctx, connect.NewRequest(request))
	if err == nil {
		err = receive(stream, id, offset, onPiece)
	} else {
		err = requestError(err)
	}
	return resumeError(err)
}

// Cancelled is an engine's answer to a cancellation.
type Cancelled struct {
	// Started reports whether this incarnation of the engine had started the run.
	Started bool
	// Incarnation changes at each start of the engine.
	Incarnation string
}

// Cancel ends a run. From then on the engine refuses requests with its id.
func (c *Client) Cancel(ctx context.Context, id string) (Cancelled, error) {
	answer, err := c.engine.Cancel(ctx, connect.NewRequest(&enginev1.CancelRequest{RequestId: id}))
	if err != nil {
		return Cancelled{}, errors.Trace(err)
	}
	return Cancelled{Started: answer.Msg.GetStarted(), Incarnation: answer.Msg.GetIncarnation()}, nil
}

// receive passes the pieces of a stream to onPiece. Each message must carry the request's id and the next
// index, also the last one, whose index is the number of pieces.
func receive(stream *connect.ServerStreamForClient[enginev1.GenerateResponse], id string, next uint32, onPiece func(uint32, string) error) error {
	defer func() { _ = stream.Close() }() // Nothing more is read from the stream, so its error is ignored.
	for stream.Receive() {
		message := stream.Msg()
		if message.GetRequestId() != id || message.GetIndex() != next {
			return errors.Annotatef(ErrUnexpectedMessage, "request %s piece %d, expected %s piece %d", message.GetRequestId(), message.GetIndex(), id, next)
		}
		if message.GetLast() {
			return nil
		}
		if err := onPiece(next, message.GetText()); err != nil {
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

// requestError adds to the error of a failed request the kind that says what is known of its run.
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

// resumeError turns ErrNotStarted and ErrLeaving of a failed resumption into ErrBrokenOff: an engine that
// cannot be reached now, or refuses now, may have started the run before.
func resumeError(err error) error {
	if errors.Is(err, ErrNotStarted) || errors.Is(err, ErrLeaving) {
		return errors.Annotatef(ErrBrokenOff, "resuming: %v", err)
	}
	return err
}
