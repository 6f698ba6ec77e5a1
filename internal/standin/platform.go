package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

// Fault is the fault injected into one call to the platform.
type Fault int

// The faults of a call.
const (
	// FaultNone: the call is executed and answered.
	FaultNone Fault = iota
	// FaultDown: the call is neither executed nor answered.
	FaultDown
	// FaultLostAnswer: the call is executed, but its answer is lost.
	FaultLostAnswer
)

// Platform is a stand-in of the key-value service, the box list and the weight store.
type Platform struct {
	// Memory implements the key-value service.
	Memory *kv.Memory
	// Weights is the weight store.
	Weights *Weights
	// Fault returns the fault of a call, given its path; nil injects none.
	Fault func(path string) Fault

	mu   sync.Mutex
	list membership.List
	// mode is the fault of every call; if it is FaultNone, Fault is asked.
	mode Fault
	// watchEnd is closed and replaced to end all watches.
	watchEnd chan struct{}
}

// NewPlatform returns a platform without keys and boxes.
func NewPlatform() *Platform {
	return &Platform{
		Memory:   kv.NewMemory(),
		Weights:  NewWeights(),
		watchEnd: make(chan struct{}),
	}
}

// SetMode injects a fault into every call until the next SetMode, and ends all watches at once. A change from
// FaultDown to FaultNone restarts the TTL of all leases.
func (p *Platform) SetMode(mode Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == FaultDown && mode == FaultNone {
		p.Memory.RefreshLeases()
	}
	p.mode = mode
	close(p.watchEnd)
	p.watchEnd = make(chan struct{})
}

// SetBox adds a box to the box list, or replaces the one with its id.
func (p *Platform) SetBox(box membership.Box) {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := p.boxesWithout(box.ID)
	p.list = membership.List{Generation: p.list.Generation + 1, Boxes: append(boxes, box)}
}

// RemoveBox removes a box from the box list.
func (p *Platform) RemoveBox(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = membership.List{Generation: p.list.Generation + 1, Boxes: p.boxesWithout(id)}
}

func (p *Platform) boxesWithout(id string) []membership.Box {
	var boxes []membership.Box
	for _, box := range p.list.Boxes {
		if box.ID != id {
			boxes = append(boxes, box)
		}
	}
	return boxes
}

// Handler returns the HTTP handler of the platform.
func (p *Platform) Handler() http.Handler {
	store := p.Memory.Store()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+kv.PathRange, p.faulty(handleJSON(func(r *http.Request, q kv.RangeRequest) (any, error) {
		return rangeKeys(r.Context(), store, q)
	})))
	mux.HandleFunc("POST "+kv.PathTxn, p.faulty(handleJSON(func(r *http.Request, q kv.TxnRequest) (any, error) {
		return transact(r.Context(), store, q)
	})))
	mux.HandleFunc("POST "+kv.PathGrant, p.faulty(handleJSON(func(r *http.Request, q kv.LeaseRequest) (any, error) {
		id, err := store.Grant(r.Context(), time.Duration(q.TTL)*time.Second)
		return kv.LeaseResponse{ID: id.Number, TTL: q.TTL}, err
	})))
	mux.HandleFunc("POST "+kv.PathRenew, p.faulty(handleJSON(func(r *http.Request, q kv.LeaseRequest) (any, error) {
		return renew(r.Context(), store, q)
	})))
	mux.HandleFunc("POST "+kv.PathRevoke, p.faulty(handleJSON(func(r *http.Request, q kv.LeaseRequest) (any, error) {
		return kv.LeaseResponse{}, store.Revoke(r.Context(), kv.LeaseID{Number: q.ID})
	})))
	mux.HandleFunc("POST "+kv.PathWatch, p.faulty(p.watch))
	mux.HandleFunc("GET /boxes", p.faulty(p.boxes))
	mux.HandleFunc("PUT /boxes/{id}", p.putBox)
	mux.HandleFunc("DELETE /boxes/{id}", p.deleteBox)
	mux.HandleFunc("POST /weights", p.Weights.serve)
	mux.HandleFunc("POST /standin/mode", p.setMode)
	return mux
}

// faulty wraps a handler so that the current fault is injected into its calls.
func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch p.fault(r.URL.Path) {
		case FaultDown:
			panic(http.ErrAbortHandler)
		case FaultLostAnswer:
			LoseAnswer(next, r)
		default:
			next(w, r)
		}
	}
}

func (p *Platform) fault(path string) Fault {
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	if mode == FaultNone && p.Fault != nil {
		return p.Fault(path)
	}
	return mode
}

func (p *Platform) boxes(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	list := p.list
	p.mu.Unlock()
	writeJSON(w, list)
}

func (p *Platform) putBox(w http.ResponseWriter, r *http.Request) {
	var box membership.Box
	if err := json.NewDecoder(r.Body).Decode(&box); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	box.ID = r.PathValue("id")
	p.SetBox(box)
}

func (p *Platform) deleteBox(_ http.ResponseWriter, r *http.Request) {
	p.RemoveBox(r.PathValue("id"))
}

// setMode handles a call that sets the mode: mode=up, down or lost.
func (p *Platform) setMode(w http.ResponseWriter, r *http.Request) {
	modes := map[string]Fault{"up": FaultNone, "down": FaultDown, "lost": FaultLostAnswer}
	mode, ok := modes[r.URL.Query().Get("mode")]
	if !ok {
		http.Error(w, "mode is up, down or lost", http.StatusBadRequest)
		return
	}
	p.SetMode(mode)
}
