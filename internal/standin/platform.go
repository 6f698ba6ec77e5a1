// Package standin has small stand-ins of the systems around ospreymoor: the platform, a
// model engine and a plain service. They serve `ospreymoor dev` and the tests.
package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

// Fault is what befalls one call of the platform.
type Fault int

// The faults of a call.
const (
	// FaultNone: the call is done and answered.
	FaultNone Fault = iota
	// FaultDown: the call is neither done nor answered.
	FaultDown
	// FaultLostAnswer: the call is done, and its answer lost.
	FaultLostAnswer
)

// Platform is the key-value service, the box list and the weight store.
type Platform struct {
	// Memory is the key-value service's state.
	Memory *kv.Memory
	// Weights is the weight store.
	Weights *Weights
	// Fault chooses what befalls a call; nil means nothing.
	Fault func(path string) Fault

	mu    sync.Mutex
	list  membership.List
	mode  Fault
	ended chan struct{}
	calls map[string]int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		Memory:  kv.NewMemory(),
		Weights: NewWeights(),
		ended:   make(chan struct{}),
		calls:   map[string]int{},
	}
}

// SetMode has every call meet a fault until the next SetMode; watches end at once.
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

// SetBox puts a box into the list, or changes it.
func (p *Platform) SetBox(box membership.Box) {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := p.without(box.ID)
	p.list = membership.List{Generation: p.list.Generation + 1, Boxes: append(boxes, box)}
}

// RemoveBox takes a box off the list.
func (p *Platform) RemoveBox(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = membership.List{Generation: p.list.Generation + 1, Boxes: p.without(id)}
}

// Calls returns how often each path was called.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
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

// faulty wraps a handler in the faults of the moment.
func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch p.fault(r.URL.Path) {
		case FaultDown:
			panic(http.ErrAbortHandler)
		case FaultLostAnswer:
			next(&deafWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next(w, r)
		}
	}
}

func (p *Platform) fault(path string) Fault {
	p.mu.Lock()
	p.calls[path]++
	mode := p.mode
	p.mu.Unlock()
	if mode == FaultNone && p.Fault != nil {
		return p.Fault(path)
	}
	return mode
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	var q kv.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	events, _ := p.Memory.Store().Watch(r.Context(), kv.Watching{Prefix: string(q.Create.Key), From: q.Create.StartRevision})
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(kv.WatchResponse{Result: kv.WatchResult{Created: true}})
	_ = http.NewResponseController(w).Flush()
	for {
		select {
		case batch, ok := <-events:
			if !ok {
				return
			}
			for _, event := range batch {
				_ = encoder.Encode(watchMessage(event))
			}
			_ = http.NewResponseController(w).Flush()
		case <-ended:
			panic(http.ErrAbortHandler)
		}
	}
}

func watchMessage(event kv.Event) kv.WatchResponse {
	message := kv.WatchEvent{KV: keyValue(event.Record)}
	if event.Deleted {
		message.Type = "DELETE"
	}
	return kv.WatchResponse{Result: kv.WatchResult{Events: []kv.WatchEvent{message}}}
}

func (p *Platform) boxes(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	list := p.list
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(list)
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

// answer decodes a call's JSON, does it and encodes its result.
func answer[Q any](do func(*http.Request, Q) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := do(r, q)
		if err != nil {
			http.Error(w, errors.Details(err), http.StatusInternalServerError)
			return
		}
		_ = json.NewEncoder(w).Encode(result)
	}
}

// deafWriter takes an answer that nobody will get.
type deafWriter struct{ header http.Header }

// Header returns headers that go nowhere.
func (d *deafWriter) Header() http.Header { return d.header }

// Write drops the bytes.
func (d *deafWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (d *deafWriter) WriteHeader(int) {}
