package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replayedRequest: engines of a plain service lose the answers of some requests that they ran. Clients send requests on
// an `unsafe` route: POST without a body, with an Idempotency-Key header of their own, as many clients of HTTP do.
func replayedRequest(p *play) (int, error) {
	const (
		clients  = 8
		lossFrom = 4 * time.Second
		lossFor  = 4 * time.Second
		length   = 12 * time.Second
		lostOf   = 20 // One answer in so many of an engine with the disruption is lost: share 0.05.
	)
	p.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-unsafe", "host": host, "pathPrefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 100,
			"priority": 2, "service": "wuno96b", "maxAttempts": 1,
		}},
		"services": []map[string]any{{"name": "wuno96b", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var mu sync.Mutex
	runs := map[string][]string{}
	var answers, lost atomic.Int64
	var losing atomic.Bool
	for n := range 2 {
		e := &engine{id: fmt.Sprintf("i-7f3a91c%d", n), service: "wuno96b"}
		e.serve = func(c *engineConn, r *http.Request, body []byte) bool {
			id := r.Header.Get("X-Ospreymoor-Request-Id")
			p.note("engine %s runs %s %s %s, request %d on its connection %d", e.id, r.Method, r.RequestURI, id, c.served+1, c.number)
			mu.Lock()
			runs[id] = append(runs[id], e.id)
			mu.Unlock()
			time.Sleep(15 * time.Millisecond)
			// Half of the engines have the disruption.
			if n == 0 && losing.Load() && answers.Add(1)%lostOf == 0 {
				lost.Add(1)
				p.note("engine %s loses the answer of %s: its connection is reset", e.id, id)
				c.reset()
				return false
			}
			return c.reply(r, http.StatusOK, "X-Ospreymoor-Response-Seal: 3e1b.07."+id+"\r\n", "done "+id)
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
	if p.trouble {
		time.AfterFunc(lossFrom, func() { losing.Store(true) })
		time.AfterFunc(lossFrom+lossFor, func() { losing.Store(false) })
	}
	var wg sync.WaitGroup
	var sent, succeeded atomic.Int64
	for n := range clients {
		wg.Go(func() {
			c := &client{front: p.boxes[n%len(p.boxes)].front}
			defer c.close()
			for k := 0; time.Since(begun) < length; k++ {
				id := fmt.Sprintf("%04x%012x", n, k)
				p.note("client %d sends POST /puxa403/%d %s to %s", n, k, id, p.boxes[n%len(p.boxes)].name)
				sent.Add(1)
				response, _, err := c.ask(http.MethodPost, fmt.Sprintf("/puxa403/%d", k), id, 600*time.Millisecond, "Idempotency-Key: \""+id+"\"\r\n", "")
				switch {
				case err != nil:
					p.note("client %d gets no answer to %s: %v", n, id, err)
				default:
					if response.StatusCode == http.StatusOK {
						succeeded.Add(1)
					}
					p.note("client %d gets %d for %s", n, response.StatusCode, id)
				}
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, at := range runs {
		if len(at) > 1 {
			twice++
			p.note("TWICE: %s ran %d times, at %v", id, len(at), at)
		}
	}
	p.note("%d requests sent, %d answered with success, %d ran, %d answers lost, %d ran more than once", sent.Load(), succeeded.Load(), len(runs), lost.Load(), twice)
	if int(succeeded.Load()) < int(sent.Load())/2 || (p.trouble && lost.Load() == 0) {
		return couldNot, fmt.Errorf("%d of %d requests served, %d answers lost: nothing to judge", succeeded.Load(), sent.Load(), lost.Load())
	}
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}
