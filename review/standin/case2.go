package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lateRecord: boxes are stopped and started in turn, twice. During the first time, the store loses the answers of some
// writes and does them seconds later.
func lateRecord(p *play) (int, error) {
	const (
		service  = "huvo11a"
		model    = "daka510000"
		adapters = 16
		engines  = 3
		clients  = 16
		leaseMs  = 3000
		firstAt  = 12 * time.Second // The first restart in turn, after the load began.
		gap      = time.Second      // Between the boxes.
		secondAt = firstAt + 18*time.Second
		length   = secondAt + 10*time.Second
		lateBy   = 5500 * time.Millisecond
		lossFor  = 4500 * time.Millisecond
	)
	route := map[string]any{
		"name": "r-stream", "host": host, "pathPrefix": "/lohu930/", "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 800,
		"priority": 1, "service": service, "maxAttempts": 2, "sticky": true, "resumable": true, "gapTargetMs": 400,
	}
	p.store.put("op/config", map[string]any{
		"version": 7,
		"routes":  []map[string]any{route},
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacity": 254071, "kvTokenBytes": 163840, "linkMbps": 260000, "stride": 5, "maximum": 12, "weightsMb": 220000, "adapterSlots": 5,
				"loadsPerS": 2.1, "models": []map[string]any{{"name": model, "weightsMb": 72700, "loadTimeS": 4.2, "adapters": adapters, "adapterSizeMb": 66, "warmS": 0.4, "diskS": 0.84}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var list []*adapterEngine
	for n := range engines {
		e := newAdapterEngine(p, fmt.Sprintf("i-7f3a91c%d", n), service, model, 5)
		if err := e.start(p.store); err != nil {
			return couldNot, err
		}
		list = append(list, e)
	}
	if err := p.startBoxes(); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	begun := time.Now()
	var wg sync.WaitGroup
	var sent, succeeded atomic.Int64
	for n := range clients {
		wg.Go(func() {
			for k := 0; time.Since(begun) < length; k++ {
				c := &client{front: p.boxes[(n+k)%len(p.boxes)].front}
				id := fmt.Sprintf("%04x%012x", n, k)
				sent.Add(1)
				header := fmt.Sprintf("X-Ospreymoor-Model: %s/a%d\r\nX-Ospreymoor-Token-Count: 826,20\r\nX-Ospreymoor-Prompt-Prefix: 5c1e07a2:198,%x:628\r\n", model, 1+rand.IntN(adapters), 0x5c1e0000+n*1000+k)
				response, _, err := c.ask(http.MethodPost, "/lohu930/2f", id, 5*time.Second, header, "{}")
				switch {
				case err != nil:
					p.note("client %d gets no whole answer to %s: %v", n, id, err)
				default:
					if response.StatusCode == http.StatusOK {
						succeeded.Add(1)
					}
					p.note("client %d gets %d for %s", n, response.StatusCode, id)
				}
				c.close()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	restart := func(b *box) {
		p.note("box %s gets SIGTERM", b.name)
		_ = b.process.Process.Signal(syscall.SIGTERM)
		exited := make(chan struct{})
		go func() { _ = b.process.Wait(); close(exited) }()
		select {
		case <-exited:
		case <-time.After(8 * time.Second):
			_ = b.process.Process.Kill()
			<-exited
		}
		time.Sleep(200 * time.Millisecond)
		if err := b.start(); err != nil {
			p.note("box %s can't start: %v", b.name, err)
		}
		p.note("box %s starts again", b.name)
	}
	inTurn := func(first int) {
		var turns sync.WaitGroup
		for k := range p.boxes {
			b := p.boxes[(first+k)%len(p.boxes)]
			turns.Go(func() { restart(b) })
			time.Sleep(gap)
		}
		turns.Wait()
	}
	holder := func() int {
		name := p.store.value("ospreymoor/leases/orders")
		for i, b := range p.boxes {
			if b.name == name {
				return i
			}
		}
		return 0
	}
	time.Sleep(time.Until(begun.Add(firstAt)))
	p.note("holder of the lease: %s, record: %s", p.store.value("ospreymoor/leases/orders"), p.store.value("ospreymoor/leases/last-order-holder"))
	if p.trouble {
		p.note("the store begins to lose answers")
		p.store.loseLate("ospreymoor/leases/last-order-holder", lateBy, p.note)
		time.AfterFunc(lossFor, func() {
			p.store.loseLate("", 0, p.note)
			p.note("the store answers as before")
		})
	}
	inTurn(holder())
	time.Sleep(time.Until(begun.Add(secondAt)))
	p.note("holder of the lease: %s, record: %s", p.store.value("ospreymoor/leases/orders"), p.store.value("ospreymoor/leases/last-order-holder"))
	inTurn(holder())
	wg.Wait()
	broke := 0
	orders := 0
	for _, e := range list {
		e.state.Lock()
		var last *order
		for i := range e.arrived {
			o := &e.arrived[i]
			if o.status != http.StatusOK && o.status != http.StatusAccepted {
				continue // The engine did not take it.
			}
			orders++
			if last != nil && last.Holder != o.Holder {
				if between := o.at.Sub(last.at); between < leaseMs*time.Millisecond {
					broke++
					p.note("ONE: engine %s got an order of %s, token %d, at %.3f and one of %s, token %d, %d ms later", e.id, last.Holder, last.FencingToken,
						last.at.Sub(p.begun).Seconds(), o.Holder, o.FencingToken, between.Milliseconds())
				} else {
					p.note("engine %s: orders of %s come %d ms after those of %s", e.id, o.Holder, between.Milliseconds(), last.Holder)
				}
			}
			last = o
		}
		e.state.Unlock()
	}
	p.note("%d requests sent, %d answered with success, %d orders, %d turns of holders within %d ms, %d writes done late", sent.Load(), succeeded.Load(), orders, broke, leaseMs, p.store.lateWrites())
	if orders == 0 || p.trouble && p.store.lateWrites() == 0 {
		return couldNot, fmt.Errorf("%d orders, %d late writes: nothing to judge", orders, p.store.lateWrites())
	}
	if broke > 0 {
		return broken, nil
	}
	return held, nil
}
