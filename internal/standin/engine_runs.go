package standin

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
)

// defaultPieces is how many pieces answer a request that sets no limit.
const defaultPieces = 16

// run is one request on the engine. Its pieces are kept, so that it can be resumed.
type run struct {
	model   string
	adapter string
	pieces  []string
	// done runs add no more pieces; finished ones have all of them.
	done     bool
	finished bool
	stop     context.CancelFunc
	// changed is closed, and replaced, at each change.
	changed chan struct{}
}

// Answer returns the pieces that an engine answers a prompt with: tests compute them, too.
func Answer(model, adapter, prompt string, pieces int) []string {
	sum := xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
	answer := make([]string, pieces)
	for i := range answer {
		answer[i] = fmt.Sprintf("%08x:%d ", uint32(sum), i)
	}
	return answer
}

// Generate starts a run and streams its pieces.
func (e *Engine) Generate(ctx context.Context, r *connect.Request[enginev1.GenerateRequest], stream *connect.ServerStream[enginev1.GenerateResponse]) error {
	started, err := e.start(r.Msg)
	if err != nil {
		return err
	}
	return e.stream(ctx, r.Msg.GetRequestId(), started, 0, stream)
}

// Resume streams the pieces of a known run from an offset on.
func (e *Engine) Resume(ctx context.Context, r *connect.Request[enginev1.ResumeRequest], stream *connect.ServerStream[enginev1.GenerateResponse]) error {
	e.mu.Lock()
	known := e.runs[r.Msg.GetRequestId()]
	e.mu.Unlock()
	if known == nil {
		return connect.NewError(connect.CodeNotFound, fmt.Errorf("no run %s", r.Msg.GetRequestId()))
	}
	return e.stream(ctx, r.Msg.GetRequestId(), known, int(r.Msg.GetOffset()), stream)
}

// Cancel ends a run and refuses its id from then on.
func (e *Engine) Cancel(_ context.Context, r *connect.Request[enginev1.CancelRequest]) (*connect.Response[enginev1.CancelResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Msg.GetRequestId()
	e.cancelled[id] = true
	known := e.runs[id]
	if known == nil {
		return connect.NewResponse(&enginev1.CancelResponse{Incarnation: e.incarnation}), nil
	}
	known.stop()
	return connect.NewResponse(&enginev1.CancelResponse{Started: true, Finished: known.done, Incarnation: e.incarnation}), nil
}

// start begins a run unless the request must be refused.
func (e *Engine) start(q *enginev1.GenerateRequest) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := q.GetRequestId()
	switch {
	case e.leaving:
		e.record.StartedLeaving++
		return nil, connect.NewError(connect.CodeUnavailable, errLeaving)
	case e.runs[id] != nil || e.cancelled[id]:
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("request %s is known or cancelled", id))
	case e.resident[q.GetModel()] == nil || (q.GetAdapter() != "" && e.resident[q.GetAdapter()] == nil):
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("%s %s not resident", q.GetModel(), q.GetAdapter()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{model: q.GetModel(), adapter: q.GetAdapter(), stop: cancel, changed: make(chan struct{})}
	e.runs[id] = r
	e.record.Prompts[q.GetPrompt()]++
	pieces := int(q.GetMaxTokens())
	if pieces == 0 {
		pieces = defaultPieces
	}
	go e.work(ctx, r, q.GetPriority(), Answer(q.GetModel(), q.GetAdapter(), q.GetPrompt(), pieces))
	return r, nil
}

// work adds a run's pieces, one after the other, while it holds a slot.
func (e *Engine) work(ctx context.Context, r *run, priority int32, pieces []string) {
	if e.takeSlot(ctx, priority) {
		defer e.freeSlot()
		pause := e.FirstToken
		for _, piece := range pieces {
			if !sleep(ctx, pause) {
				break
			}
			e.append(r, piece)
			pause = e.TokenTime
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.done = true
	r.finished = len(r.pieces) == len(pieces)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (e *Engine) append(r *run, piece string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.pieces = append(r.pieces, piece)
	close(r.changed)
	r.changed = make(chan struct{})
}

// stream sends a run's pieces from an offset on as they are added, and the closing message.
func (e *Engine) stream(ctx context.Context, id string, r *run, next int, stream *connect.ServerStream[enginev1.GenerateResponse]) error {
	for {
		e.mu.Lock()
		pieces, done, finished, changed := r.pieces, r.done, r.finished, r.changed
		e.mu.Unlock()
		for ; next < len(pieces); next++ {
			if err := e.send(stream, &enginev1.GenerateResponse{RequestId: id, Index: uint32(next), Text: pieces[next]}); err != nil {
				return err
			}
		}
		if done {
			if !finished {
				return connect.NewError(connect.CodeAborted, fmt.Errorf("request %s was cancelled", id))
			}
			return e.send(stream, &enginev1.GenerateResponse{RequestId: id, Index: uint32(next), Last: true})
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Engine) send(stream *connect.ServerStream[enginev1.GenerateResponse], message *enginev1.GenerateResponse) error {
	if e.Mangle == nil {
		return stream.Send(message)
	}
	for _, mangled := range e.Mangle(message) {
		if err := stream.Send(mangled); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits, and reports whether it did so to the end.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}
