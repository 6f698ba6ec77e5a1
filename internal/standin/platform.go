package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

// Fault is the fault injected into one call of the platform.
type Fault int

// The faults of a call.
const (
	// FaultNone: the call is done and answered.
	FaultNone Fault = iota
	// FaultDown: the call is neither done nor answered.
	FaultDown
	// FaultLostAnswer: the call is done and its answer is lost.
	FaultLostAnswer
)

// Platform is the key-value service, the box list and the weight store.
type Platform struct {
	// Memory is the key-value service's state.
	Memory *kv.Memory
	// Weights is the weight store.
	Weights *Weights
	// Fault chooses the fault of a call by its path; nil injects none.
	Fault func(path string) Fault

	mu   sync.Mutex
	list membership.List
	// mode is the fault of every call; with FaultNone, Fault chooses.
	mode Fault
	// ended is closed, and replaced, to end all watches.
	ended chan struct{}
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		Memory:  kv.NewMemory(),
		Weights: NewWeights(),
		ended:   make(chan struct{}),
	}
}

// SetMode injects a fault into every call until the next SetMode; watches end at once.
func (p *Platform) SetMode(mode Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == FaultDown && mode == FaultNone {
		p.Memory.RefreshLeases()
	}
	p.mode = mode
	close(p.ended)
	p.ended = make(chan struct{})
}

// SetBox adds a box to the box list, or changes it.
func (p *Platform) SetBox(box membership.Box) {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := p.without(box.ID)
	p.list = membership.List{Generation: p.list.Generation + 1, Boxes: append(boxes, box)}
}

// RemoveBox removes a box from the box list.
func (p *Platform) RemoveBox(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = membership.List{Generation: p.list.Generation + 1, Boxes: p.without(id)}
}

func (p *Platform) without(id string) []membership.Box {
	var boxes []membership.Box
	for _, box := range p.list.Boxes {
		if box.ID != id {
			boxes = append(boxes, box)
		}
	}
	return boxes
}

// Handler serves the platform over HTTP.
func (p *Platform) Handler() http.Handler {
	store := p.Memory.Store()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+kv.PathRange, p.faulty(answer(func(r *http.Request, q kv.RangeRequest) (any, error) {
		return rangeKeys(r.Context(), store, q)
	})))
	mux.HandleFunc("POST "+kv.PathTxn, p.faulty(answer(func(r *http.Request, q kv.TxnRequest) (any, error) {
		return transact(r.Context(), store, q)
	})))
	mux.HandleFunc("POST "+kv.PathGrant, p.faulty(answer(func(r *http.Request, q kv.LeaseRequest) (any, error) {
		id, err := store.Grant(r.Context(), time.Duration(q.TTL)*time.Second)
		return kv.LeaseResponse{ID: int64(id), TTL: q.TTL}, err
	})))
	mux.HandleFunc("POST "+kv.PathRenew, p.faulty(answer(func(r *http.Request, q kv.LeaseRequest) (any, error) {
		return renew(r.Context(), store, q)
	})))
	mux.HandleFunc("POST "+kv.PathRevoke, p.faulty(answer(func(r *http.Request, q kv.LeaseRequest) (any, error) {
		return kv.LeaseResponse{}, store.Revoke(r.Context(), kv.LeaseID(q.ID))
	})))
	mux.HandleFunc("POST "+kv.PathWatch, p.faulty(p.watch))
	mux.HandleFunc("GET /boxes", p.faulty(p.boxes))
	mux.HandleFunc("PUT /boxes/{id}", p.putBox)
	mux.HandleFunc("DELETE /boxes/{id}", p.deleteBox)
	mux.HandleFunc("POST /weights", p.Weights.serve)
	mux.HandleFunc("POST /standin/mode", p.setMode)
	return mux
}

// faulty injects the current fault into the calls of a handler.
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

// setMode takes mode=up, down or lost.
func (p *Platform) setMode(w http.ResponseWriter, r *http.Request) {
	modes := map[string]Fault{"up": FaultNone, "down": FaultDown, "lost": FaultLostAnswer}
	mode, ok := modes[r.URL.Query().Get("mode")]
	if !ok {
		http.Error(w, "mode is up, down or lost", http.StatusBadRequest)
		return
	}
	p.SetMode(mode)
}
