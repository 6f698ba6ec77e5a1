package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// order is an order as it arrived at an engine.
type order struct {
	at             time.Time
	Operation      string `json:"operation"`
	Model          string `json:"model"`
	Adapter        string `json:"adapter"`
	IfRev          *int   `json:"ifRev"`
	Holder         string `json:"holder"`
	FencingToken   int64  `json:"fencingToken"`
	status         int
	fromConnection int
}

// adapterEngine is an engine that holds one model and takes orders for its adapters.
type adapterEngine struct {
	engine
	play  *play
	model string
	slots int

	state    sync.Mutex
	adapters []string
	pending  []string
	running  map[string]int
	taken    int
	arrived  []order
}

func newAdapterEngine(p *play, id, service, model string, slots int) *adapterEngine {
	e := &adapterEngine{engine: engine{id: id, service: service}, play: p, model: model, slots: slots, running: map[string]int{}, adapters: []string{}}
	e.models = e.holdings()
	e.serve = e.serveRequest
	e.control = e.serveControl
	return e
}

func (e *adapterEngine) holdings() []map[string]any {
	return []map[string]any{{"name": e.model, "version": 1, "adapters": slices.Clone(e.adapters)}}
}

// changed writes the engine's entry after its holdings changed. The caller holds no lock.
func (e *adapterEngine) changed() {
	e.state.Lock()
	e.models = e.holdings()
	e.state.Unlock()
	e.register(e.play.store)
}

func (e *adapterEngine) serveControl(c *engineConn, r *http.Request, body []byte) bool {
	if r.URL.Path == "/report" {
		e.state.Lock()
		text := fmt.Sprintf(`{"stage":"both","models":%s,"busy":false,"sequence":%d,"queued":0,"active":0,"kvUsed":0,"kvTotal":250000,"handles":0,"pending":%s}`,
			encode(e.holdings()), e.taken, encode(append([]string{}, e.pending...)))
		e.state.Unlock()
		return c.reply(r, http.StatusOK, "Content-Type: application/json\r\n", text)
	}
	status := e.take(c, body)
	return c.reply(r, status, "", "")
}

// take takes an order and returns the status of its answer.
func (e *adapterEngine) take(c *engineConn, body []byte) int {
	var o order
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.FencingToken == 0 || (o.Operation != "load" && o.Operation != "unload") {
		return http.StatusBadRequest
	}
	o.at = time.Now()
	e.state.Lock()
	defer e.state.Unlock()
	o.status = e.outcome(&o)
	e.arrived = append(e.arrived, o)
	e.play.note("engine %s: order %s %s/%s from %s, token %d: %d", e.id, o.Operation, o.Model, o.Adapter, o.Holder, o.FencingToken, o.status)
	return o.status
}

// outcome carries an order out and returns its status. The caller holds the lock.
func (e *adapterEngine) outcome(o *order) int {
	if o.Model != e.model || o.Adapter == "" || o.IfRev != nil && *o.IfRev != e.taken {
		return http.StatusConflict
	}
	has := slices.Contains(e.adapters, o.Adapter) || slices.Contains(e.pending, o.Adapter)
	if o.Operation == "load" {
		if has {
			return http.StatusOK
		}
		if len(e.pending) >= 4 || len(e.adapters)+len(e.pending) >= e.slots {
			return http.StatusConflict
		}
		e.taken++
		e.pending = append(e.pending, o.Adapter)
		adapter := o.Adapter
		time.AfterFunc(10*time.Millisecond, func() {
			e.state.Lock()
			e.pending = slices.DeleteFunc(e.pending, func(name string) bool { return name == adapter })
			e.adapters = append(e.adapters, adapter)
			e.state.Unlock()
			e.changed()
		})
		return http.StatusAccepted
	}
	if !has {
		return http.StatusOK
	}
	if e.running[o.Adapter] > 0 || slices.Contains(e.pending, o.Adapter) {
		return http.StatusConflict
	}
	e.taken++
	adapter := o.Adapter
	e.adapters = slices.DeleteFunc(e.adapters, func(name string) bool { return name == adapter })
	go e.changed()
	return http.StatusOK
}

func (e *adapterEngine) serveRequest(c *engineConn, r *http.Request, body []byte) bool {
	model, adapter, _ := strings.Cut(r.Header.Get("X-Ospreymoor-Model"), "/")
	e.state.Lock()
	holds := model == e.model && slices.Contains(e.adapters, adapter)
	if holds {
		e.running[adapter]++
	}
	e.state.Unlock()
	if !holds {
		return c.reply(r, http.StatusMisdirectedRequest, "X-Ospreymoor-Not-Executed: 1\r\n", "")
	}
	whole := streamFrom(c, r, 20*time.Millisecond, 4, 20*time.Millisecond)
	e.state.Lock()
	e.running[adapter]--
	e.state.Unlock()
	return whole
}
