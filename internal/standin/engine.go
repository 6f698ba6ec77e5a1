package standin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1/enginev1connect"
)

// EngineConfig says what an engine stand-in is like.
type EngineConfig struct {
	Memory int64
	Slots  int
	// Fenced engines check who orders.
	Fenced bool
	// FirstToken and TokenTime are the times to the first piece and between pieces.
	FirstToken time.Duration
	TokenTime  time.Duration
	// Fetch brings weights in; nil takes no time.
	Fetch func(ctx context.Context, bytes int64) error
	// OnOrder may delay or refuse an order before it is looked at; nil does nothing.
	OnOrder func(ctx context.Context, name string) error
	// Mangle may change, drop or double a message on its way out; nil does nothing.
	Mangle func(*enginev1.GenerateResponse) []*enginev1.GenerateResponse
}

// Engine is a stand-in of a model engine. It never refuses a load for lack of memory:
// it notes that it was overcommitted, for tests to find.
type Engine struct {
	EngineConfig

	mu          sync.Mutex
	incarnation string
	resident    map[string]*enginev1.Item
	loading     map[string]*enginev1.Item
	runs        map[string]*run
	cancelled   map[string]bool
	queue       waitQueue
	running     int
	leaving     bool
	role        string
	term        int64
	sequence    int64
	record      Record
}

// Record is what an engine noted, for tests to check against.
type Record struct {
	// Started counts the starts of each request id.
	Started map[string]int `json:"started"`
	// Finished tells which ran to their end.
	Finished map[string]bool `json:"finished"`
	// Prompts are the prompts that were started, with how often.
	Prompts map[string]int `json:"prompts"`
	// PeakBytes is the most memory ever taken, resident and loading together.
	PeakBytes int64 `json:"peakBytes"`
	// Overcommitted counts the loads that took memory past capacity.
	Overcommitted int `json:"overcommitted"`
	Loads         int `json:"loads"`
	Unloads       int `json:"unloads"`
	// StartedLeaving counts requests that came while leaving; they are refused.
	StartedLeaving int `json:"startedLeaving"`
}

// run is one request's pieces, kept for those who resume.
type run struct {
	model   string
	adapter string
	pieces  []string
	done    bool
	stop    context.CancelFunc
	changed chan struct{}
}

// NewEngine returns an empty engine.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{
		EngineConfig: config,
		incarnation:  uuid.NewString(),
		resident:     map[string]*enginev1.Item{},
		loading:      map[string]*enginev1.Item{},
		runs:         map[string]*run{},
		cancelled:    map[string]bool{},
	}
	e.record = Record{Started: map[string]int{}, Finished: map[string]bool{}, Prompts: map[string]int{}}
	return e
}

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(enginev1connect.NewEngineServiceHandler(e, connect.WithCompressMinBytes(compressFrom)))
	mux.HandleFunc("GET /standin/record", e.serveRecord)
	mux.HandleFunc("POST /standin/leave", func(http.ResponseWriter, *http.Request) { e.Leave() })
	return mux
}

// Leave has the engine refuse new requests.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Restart empties the engine as a crash and a new start do.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		r.stop()
	}
	e.incarnation = uuid.NewString()
	e.resident, e.loading = map[string]*enginev1.Item{}, map[string]*enginev1.Item{}
	e.runs, e.cancelled = map[string]*run{}, map[string]bool{}
	e.leaving, e.term, e.sequence = false, 0, 0
}

// Record copies what the engine noted.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.record
	record.Started, record.Prompts = maps.Clone(e.record.Started), maps.Clone(e.record.Prompts)
	record.Finished = maps.Clone(e.record.Finished)
	return record
}

// Holds tells whether an item is resident.
func (e *Engine) Holds(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resident[name] != nil
}

// Answer is the text that an engine makes of a prompt: tests know it beforehand.
func Answer(model, adapter, prompt string, pieces int) []string {
	sum := xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
	answer := make([]string, pieces)
	for i := range answer {
		answer[i] = fmt.Sprintf("%08x:%d ", uint32(sum), i)
	}
	return answer
}

// compressFrom is the length from which a message is compressed.
const compressFrom = 4096

// defaultPieces is the length of an answer whose request sets no bound.
const defaultPieces = 16

// Generate starts a run and streams it.
func (e *Engine) Generate(ctx context.Context, r *connect.Request[enginev1.GenerateRequest], stream *connect.ServerStream[enginev1.GenerateResponse]) error {
	started, err := e.start(r.Msg)
	if err != nil {
		return err
	}
	return e.stream(ctx, r.Msg.GetRequestId(), started, 0, stream)
}

// Resume streams a known run.
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
	e.record.Started[id]++
	e.record.Prompts[q.GetPrompt()]++
	pieces := int(q.GetMaxTokens())
	if pieces == 0 {
		pieces = defaultPieces
	}
	go e.work(ctx, id, r, q.GetPriority(), Answer(q.GetModel(), q.GetAdapter(), q.GetPrompt(), pieces))
	return r, nil
}

// work makes a run's pieces, one after the other, in a slot.
func (e *Engine) work(ctx context.Context, id string, r *run, priority int32, pieces []string) {
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
	if len(r.pieces) == len(pieces) {
		e.record.Finished[id] = true
	}
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

// stream sends a run's pieces from an offset on, as they come, and the closing message.
func (e *Engine) stream(ctx context.Context, id string, r *run, next int, stream *connect.ServerStream[enginev1.GenerateResponse]) error {
	for {
		e.mu.Lock()
		pieces, done, changed := r.pieces, r.done, r.changed
		e.mu.Unlock()
		for ; next < len(pieces); next++ {
			if err := e.send(stream, &enginev1.GenerateResponse{RequestId: id, Index: uint32(next), Text: pieces[next]}); err != nil {
				return err
			}
		}
		if done {
			if !e.finished(id) {
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

func (e *Engine) finished(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.Finished[id]
}

func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}
