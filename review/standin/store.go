package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, as PROTOCOL.md has it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made"`
	Lease    int64  `json:"lease"`
}

// event is a change of a key in the answer of a watch.
type event struct {
	item
	Gone bool `json:"gone,omitempty"`
}

// store is a stand-in of the platform's key-value store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []event
	leases   map[int64]time.Time
	ttls     map[int64]time.Duration
	next     int64
	changed  chan struct{}
	// lateKey is the key of which a write is not answered and done lateBy later; empty for none. late counts these writes.
	lateKey string
	lateBy  time.Duration
	late    int
	note    func(format string, args ...any)
}

func startStore() (*store, error) {
	s := &store{items: map[string]item{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(listener, mux) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// put writes a key as the operator or an engine does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0)
	s.notify()
}

// loseLate has the store lose the answer of the next write of a key, and do the write later. An empty key ends it.
func (s *store) loseLate(key string, by time.Duration, note func(format string, args ...any)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateKey, s.lateBy, s.note = key, by, note
}

func (s *store) lateWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

// value returns the value of a key.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// write writes a key at the present revision. The caller holds the lock.
func (s *store) write(key string, value []byte, lease int64) {
	made := s.revision
	if old, ok := s.items[key]; ok {
		made = old.Made
	}
	it := item{Key: key, Value: value, Revision: s.revision, Made: made, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, event{item: it})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, Gone: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.leases {
		if time.Now().After(until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{it, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("pathPrefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	until := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-until:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// txnCall is a transaction.
type txnCall struct {
	IfRev []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"ifRev"`
	Put []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"put"`
	Drop []string `json:"drop"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var call txnCall
	text, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(text, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(call.Put) == 1 && call.Put[0].Key == s.lateKey && s.lateKey != "" {
		s.lateKey = ""
		s.note("the store does not answer the write of %s: %s", call.Put[0].Key, call.Put[0].Value)
		note := s.note
		time.AfterFunc(s.lateBy, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			status, _ := s.apply(&call)
			s.late++
			note("the store does the write of %s now: %d", call.Put[0].Key, status)
		})
		s.mu.Unlock()
		<-r.Context().Done()
		s.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	status, value := s.apply(&call)
	answer(w, status, value)
}

// apply carries a transaction out. The caller holds the lock.
func (s *store) apply(call *txnCall) (status int, value any) {
	failed, items := false, []item{}
	for _, c := range call.IfRev {
		it, ok := s.items[c.Key]
		failed = failed || it.Revision != c.Revision
		if ok {
			items = append(items, it)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": items, "at": s.revision}
	}
	for _, p := range call.Put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, p := range call.Put {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range call.Drop {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(1000, call.TTL)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := 1000 + s.next
	s.leases[id], s.ttls[id] = time.Now().Add(ttl), ttl
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{"at": s.revision, "lease": fmt.Sprint(id)})
}
