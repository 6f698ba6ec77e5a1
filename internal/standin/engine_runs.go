package standin

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
)

// defaultPieces is how many pieces the answer has if the request sets no limit.
const defaultPieces = 16

// run is one request on the engine. It keeps its pieces, so that it can be resumed.
type run struct {
	model   string
	adapter string
	pieces  []string
	// ended is set once no more pieces are added; complete is set if the answer has all of them.
	ended    bool
	complete bool
	cancel   context.CancelFunc
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// Answer returns the pieces of an engine's answer to a prompt. Tests use it to compute the expected answer.
func Answer(model, adapter, prompt string, pieces int) []string {
	sum := xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
	answer := make([]string, pieces)
	for i := range answer {
		answer[i] = fmt.Sprintf("%08x:%d ", uint32(sum), i)
	}
	return answer
}

// Generate starts a run and streams the pieces of its answer.
func (e *Engine) Generate(ctx context.Context, r *connect.Request[enginev1.GenerateRequest], stream *connect.ServerStream[enginev1.GenerateResponse]) error {
	started, err := e.start(r.Msg)
	if err != nil {
		return err
	}
	return e.stream(ctx, r.Msg.GetRequestId(), started, 0, stream)
}

// Resume streams the pieces of a run that was started, from an offset on.
func (e *Engine) Resume(ctx context.Context, r *connect.Request[enginev1.ResumeRequest], stream *connect.ServerStream[enginev1.GenerateResponse]) error {
	e.mu.Lock()
	run := e.runs[r.Msg.GetRequestId()]
	e.mu.Unlock()
	if run == nil {
		return connect.NewError(connect.CodeNotFound, fmt.Errorf("no run %s", r.Msg.GetRequestId()))
	}
	return e.stream(ctx, r.Msg.GetRequestId(), run, int(r.Msg.GetOffset()), stream)
}

// Cancel ends a run; the engine refuses its id from then on.
func (e *Engine) Cancel(_ context.Context, r *connect.Request[enginev1.CancelRequest]) (*connect.Response[enginev1.CancelResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Msg.GetRequestId()
	e.cancelled[id] = true
	run := e.runs[id]
	if run == nil {
		return connect.NewResponse(&enginev1.CancelResponse{Incarnation: e.incarnation}), nil
	}
	run.cancel()
	return connect.NewResponse(&enginev1.CancelResponse{Started: true, Finished: run.ended, Incarnation: e.incarnation}), nil
}

// start starts a run, or returns the error by which the engine refuses the request.
func (e *Engine) start(request *enginev1.GenerateRequest) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := request.GetRequestId()
	switch {
	case e.leaving:
		e.record.RefusedLeaving++
		return nil, connect.NewError(connect.CodeUnavailable, errLeaving)
	case e.runs[id] != nil || e.cancelled[id]:
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("request %s is known or cancelled", id))
	case e.resident[request.GetModel()] == nil || (request.GetAdapter() != "" && e.resident[request.GetAdapter()] == nil):
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("%s %s not resident", request.GetModel(), request.GetAdapter()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{model: request.GetModel(), adapter: request.GetAdapter(), cancel: cancel, changed: make(chan struct{})}
	e.runs[id] = r
	e.record.Prompts[request.GetPrompt()]++
	pieces := int(request.GetMaxTokens())
	if pieces == 0 {
		pieces = defaultPieces
	}
	go e.generate(ctx, r, request.GetPriority(), Answer(request.GetModel(), request.GetAdapter(), request.GetPrompt(), pieces))
	return r, nil
}

// generate waits for a slot and then adds the run's pieces one after the other, until all are added or ctx ends.
func (e *Engine) generate(ctx context.Context, r *run, priority int32, pieces []string) {
	if e.takeSlot(ctx, priority) {
		defer e.freeSlot()
		delay := e.FirstToken
		for _, piece := range pieces {
			if !sleep(ctx, delay) {
				break
			}
			e.appendPiece(r, piece)
			delay = e.TokenTime
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.ended = true
	r.complete = len(r.pieces) == len(pieces)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (e *Engine) appendPiece(r *run, piece string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.pieces = append(r.pieces, piece)
	close(r.changed)
	r.changed = make(chan struct{})
}

// stream sends a run's pieces from index next on as they are added, and then the last message.
func (e *Engine) stream(ctx context.Context, id string, r *run, next int, stream *connect.ServerStream[enginev1.GenerateResponse]) error {
	for {
		e.mu.Lock()
		pieces, ended, complete, changed := r.pieces, r.ended, r.complete, r.changed
		e.mu.Unlock()
		for ; next < len(pieces); next++ {
			if err := e.send(stream, &enginev1.GenerateResponse{RequestId: id, Index: uint32(next), Text: pieces[next]}); err != nil {
				return err
			}
		}
		if ended {
			if !complete {
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

// sleep waits for the delay and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}
