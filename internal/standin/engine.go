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
	// Slots is how many requests run at once; values below 1 mean 1.
	Slots int
	// Fenced makes the engine refuse an order whose term is lower than the highest it has seen, or whose
	// sequence is not higher than the last one of that term.
	Fenced bool
	// FirstToken is the time to the first piece of an answer, TokenTime the time between pieces.
	FirstToken time.Duration
	TokenTime  time.Duration
	// Fetch loads the given number of bytes of weights; nil takes no time.
	Fetch func(ctx context.Context, bytes int64) error
	// OnOrder may delay or refuse an order before it is processed; nil does nothing.
	OnOrder func(ctx context.Context, name string) error
	// Mangle may change, drop or duplicate a message before it is sent; nil sends it unchanged.
	Mangle func(*enginev1.GenerateResponse) []*enginev1.GenerateResponse
}

// Engine is a stand-in of a model engine. It never refuses a load for lack of memory, but counts the load
// as overcommitted, so that a test can detect it.
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

// Record holds what an engine has counted, for tests to check.
type Record struct {
	// Prompts counts the runs that were started, by prompt.
	Prompts map[string]int `json:"prompts"`
	// Overcommitted counts the loads that exceeded the memory capacity.
	Overcommitted int `json:"overcommitted"`
	// Loads counts the loads that were started.
	Loads int `json:"loads"`
	// RefusedLeaving counts the requests that were refused because the engine was draining.
	RefusedLeaving int `json:"startedLeaving"`
}

// compressMinBytes is the smallest message that is compressed, in bytes.
const compressMinBytes = 4096

// NewEngine returns an engine that holds no models.
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

// Handler returns the HTTP handler of the engine's service and of the calls that tests make.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(enginev1connect.NewEngineServiceHandler(e, connect.WithCompressMinBytes(compressMinBytes)))
	mux.HandleFunc("GET /standin/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Record()) })
	mux.HandleFunc("POST /standin/leave", func(http.ResponseWriter, *http.Request) { e.Leave() })
	return mux
}

// Leave starts to drain the engine: it refuses new requests.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Restart simulates a crash and restart: it stops all runs, clears the state of runs, items, draining and
// fencing, and starts a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		r.cancel()
	}
	e.incarnation = uuid.NewString()
	e.resident, e.loading = map[string]*enginev1.Item{}, map[string]*enginev1.Item{}
	e.runs, e.cancelled = map[string]*run{}, map[string]bool{}
	e.leaving, e.term, e.sequence = false, 0, 0
}

// Record returns a copy of what the engine has counted so far.
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
