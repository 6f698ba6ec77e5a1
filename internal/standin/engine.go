package standin

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1/enginev1connect"
)

// EngineConfig describes a stand-in of a model engine.
type EngineConfig struct {
	// Memory is the capacity for weights in bytes.
	Memory int64
	// Slots is how many requests run at once; below 1 counts as 1.
	Slots int
	// Fenced engines refuse orders of a lower term than they have seen.
	Fenced bool
	// FirstToken is the time to the first piece of an answer, TokenTime that between pieces.
	FirstToken time.Duration
	TokenTime  time.Duration
	// Fetch loads so many bytes of weights; nil takes no time.
	Fetch func(ctx context.Context, bytes int64) error
	// OnOrder may delay or refuse an order before it is processed; nil does nothing.
	OnOrder func(ctx context.Context, name string) error
	// Mangle may change, drop or duplicate a message before it is sent; nil does nothing.
	Mangle func(*enginev1.GenerateResponse) []*enginev1.GenerateResponse
}

// Engine is a stand-in of a model engine. It never refuses a load for lack of memory: it
// counts the load as overcommitted, so that a test finds it.
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

// Record is what an engine recorded, for tests to check against.
type Record struct {
	// Prompts counts the runs that were started, by prompt.
	Prompts map[string]int `json:"prompts"`
	// Overcommitted counts the loads that took memory past the capacity.
	Overcommitted int `json:"overcommitted"`
	// Loads counts the loads that were begun.
	Loads int `json:"loads"`
	// StartedLeaving counts the requests that were refused because the engine leaves.
	StartedLeaving int `json:"startedLeaving"`
}

// compressMinBytes is the length in bytes from which a message is compressed.
const compressMinBytes = 4096

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
	e.record.Prompts = map[string]int{}
	return e
}

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(enginev1connect.NewEngineServiceHandler(e, connect.WithCompressMinBytes(compressMinBytes)))
	mux.HandleFunc("GET /standin/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Record()) })
	mux.HandleFunc("POST /standin/leave", func(http.ResponseWriter, *http.Request) { e.Leave() })
	return mux
}

// Leave makes the engine refuse new requests.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Restart drops all state, as a crash and a new start do.
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

// Record returns a copy of what the engine recorded so far.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.record
	record.Prompts = maps.Clone(e.record.Prompts)
	return record
}

// Holds reports whether an item is resident.
func (e *Engine) Holds(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resident[name] != nil
}
