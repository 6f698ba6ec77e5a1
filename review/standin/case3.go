package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engineRun is one run of a request at an engine.
type engineRun struct {
	engine     string
	begun, end time.Time
}

// surplusAnswer: model engines shed some requests, and send a few of their answers a second time, late, in the slot where
// the next answer is due. Clients ask for resumable streams with long prompts.
func surplusAnswer(p *play) (int, error) {
	const (
		engines  = 14
		shedders = 2 // Of these engines: share 0.14.
		clients  = 160
		rounds   = 9 // How often the disruptions come.
		spells   = 5 * time.Second
		pauses   = 3 * time.Second
		shed     = 0.45                   // Of the requests at an engine that sheds.
		extraOf  = 34                     // One answer in so many comes a second time: share 0.03.
		prefill  = 525 * time.Millisecond // 20,000 tokens.
		events   = 4
		eventGap = 40 * time.Millisecond
		model    = "daka510000"
	)
	route := map[string]any{
		"name": "r-stream", "host": host, "pathPrefix": "/lohu930/", "kind": "stream", "timeoutMs": 12000, "targetLatencyMs": 5000,
		"priority": 1, "service": "huvo11a", "maxAttempts": 2, "sticky": true, "resumable": true, "gapTargetMs": 400,
	}
	p.store.put("op/config", map[string]any{
		"version": 7,
		"routes":  []map[string]any{route},
		"services": []map[string]any{{
			"name": "huvo11a", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacity": 254071, "kvTokenBytes": 163840, "linkMbps": 260000, "stride": 5, "maximum": 12, "weightsMb": 220000, "adapterSlots": 5,
				"loadsPerS": 2.1, "models": []map[string]any{{"name": model, "weightsMb": 72700, "loadTimeS": 4.2, "adapters": 0, "adapterSizeMb": 66, "warmS": 0.4, "diskS": 0.84}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var mu sync.Mutex
	runs := map[string][]*engineRun{}
	var late, sheds atomic.Int64
	var troubled atomic.Bool
	for n := range engines {
		e := &engine{id: fmt.Sprintf("i-7f3a91%02d", n), service: "huvo11a", models: []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}}
		surplus := map[*engineConn]string{} // By connection: the answer that comes a second time.
		e.serve = func(c *engineConn, r *http.Request, body []byte) bool {
			id := r.Header.Get("X-Ospreymoor-Request-Id")
			mu.Lock()
			text, again := surplus[c]
			delete(surplus, c)
			mu.Unlock()
			if again {
				late.Add(1)
				p.note("engine %s sends its answer of before a second time, on connection %d, where that of %s is due", e.id, c.number, id)
				if _, err := c.Write([]byte(text)); err != nil {
					return false
				}
			}
			if n < shedders && troubled.Load() && !again && rand.Float64() < shed {
				text := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Ospreymoor-Request-Id: %s\r\nX-Ospreymoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
				if sheds.Add(1)%extraOf == 0 {
					mu.Lock()
					surplus[c] = text
					mu.Unlock()
				}
				p.note("engine %s sheds %s, on connection %d", e.id, id, c.number)
				_, err := c.Write([]byte(text))
				return err == nil
			}
			run := &engineRun{engine: e.id, begun: time.Now()}
			mu.Lock()
			runs[id] = append(runs[id], run)
			mu.Unlock()
			p.note("engine %s runs %s", e.id, id)
			whole := streamFrom(c, r, prefill, events, eventGap)
			mu.Lock()
			run.end = time.Now()
			mu.Unlock()
			p.note("engine %s ends %s, whole: %v", e.id, id, whole)
			return whole
		}
		if err := e.start(p.store); err != nil {
			return couldNot, err
		}
	}
	if err := p.startBoxes(); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	begun := time.Now()
	for k := range rounds {
		if p.trouble {
			at := time.Duration(k)*(spells+pauses) + pauses
			time.AfterFunc(at, func() { troubled.Store(true) })
			time.AfterFunc(at+spells, func() { troubled.Store(false) })
		}
	}
	var wg sync.WaitGroup
	var sent, succeeded atomic.Int64
	for n := range clients {
		wg.Go(func() {
			c := &client{front: p.boxes[n%len(p.boxes)].front}
			defer c.close()
			time.Sleep(time.Duration(n) * 17 * time.Millisecond)
			for k := 0; time.Since(begun) < rounds*(spells+pauses)+pauses; k++ {
				id := fmt.Sprintf("%04x%012x", n, k)
				p.note("client %d sends %s to %s", n, id, p.boxes[n%len(p.boxes)].name)
				sent.Add(1)
				header := fmt.Sprintf("X-Ospreymoor-Model: %s\r\nX-Ospreymoor-Token-Count: 20000,%d\r\nX-Ospreymoor-Prompt-Prefix: %x:20000\r\n", model, events*5, 0x5c1e0000+n*1000+k)
				response, text, err := c.ask(http.MethodPost, "/lohu930/2f", id, 12*time.Second, header, "{}")
				switch {
				case err != nil:
					p.note("client %d gets no whole answer to %s: %v", n, id, err)
				default:
					if response.StatusCode == http.StatusOK && strings.Count(text, "id:") == events {
						succeeded.Add(1)
					}
					p.note("client %d gets %d for %s, %d events", n, response.StatusCode, id, strings.Count(text, "id:"))
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, at := range runs {
		for i, run := range at[:len(at)-1] {
			next := at[i+1]
			if overlap := run.end.Sub(next.begun); next.engine != run.engine && overlap > 400*time.Millisecond {
				twice++
				p.note("TWICE: %s went on at %s while %s still worked on it %d ms later", id, next.engine, run.engine, overlap.Milliseconds())
			}
		}
	}
	p.note("%d requests sent, %d answered whole, %d shed, %d answers sent a second time, %d requests at two engines at once", sent.Load(), succeeded.Load(), sheds.Load(), late.Load(), twice)
	if int(succeeded.Load()) < int(sent.Load())/2 || (p.trouble && late.Load() == 0) {
		return couldNot, fmt.Errorf("%d of %d requests served, %d answers sent again: nothing to judge", succeeded.Load(), sent.Load(), late.Load())
	}
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}
