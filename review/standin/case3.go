package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// restartedEngine: a box stands still for some seconds. Meanwhile an engine crashes and starts again at its address. Some
// of its streams carried neither a length nor chunks.
func restartedEngine(p *play) (int, error) {
	const (
		engines    = 4
		clients    = 220
		garbled    = 2 // Of these engines: share 0.5.
		rounds     = 11
		freezeFor  = 3500 * time.Millisecond
		crashAfter = 500 * time.Millisecond // After the box stands still.
		downFor    = 2 * time.Second
		cycle      = 8 * time.Second
		garbleLead = 3 * time.Second
		events     = processEvents
		model      = "daka510000"
	)
	route := map[string]any{
		"name": "r-stream", "host": host, "pathPrefix": "/lohu930/", "kind": "stream", "timeoutMs": 15000, "targetLatencyMs": 1500,
		"priority": 0, "service": "huvo11a", "maxAttempts": 2, "sticky": true, "resumable": true, "gapTargetMs": 400,
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
	var crashed atomic.Int64
	ports, err := freePorts(engines)
	if err != nil {
		return couldNot, err
	}
	var list []*engineProcess
	startEngine := func(id string, port int) (*engineProcess, error) {
		e := &engineProcess{engine: engine{id: id, service: "huvo11a", address: fmt.Sprintf("127.0.0.1:%d", port)}}
		return e, e.startProcess(p, model)
	}
	defer func() {
		for _, e := range list {
			e.kill(p.store)
		}
	}()
	for n := range engines {
		e, err := startEngine(fmt.Sprintf("i-7f3a91c%d", n), ports[n])
		if err != nil {
			return couldNot, err
		}
		list = append(list, e)
	}
	if err := p.startBoxes(); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	begun := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if !p.trouble {
			return
		}
		for k := range rounds {
			time.Sleep(time.Until(begun.Add(time.Duration(k) * cycle)))
			p.note("engines 0 to %d begin to send one answer in %d without a length", garbled-1, unframedOf)
			tell := func(signal syscall.Signal) {
				for _, e := range list[:garbled] {
					_ = e.process.Process.Signal(signal)
				}
			}
			tell(syscall.SIGUSR1)
			time.Sleep(garbleLead)
			b, crashing := p.boxes[k/garbled%len(p.boxes)], k%garbled
			p.note("box %s stands still", b.name)
			_ = b.process.Process.Signal(syscall.SIGSTOP)
			thaw := time.AfterFunc(freezeFor, func() {
				_ = b.process.Process.Signal(syscall.SIGCONT)
				p.note("box %s goes on", b.name)
			})
			time.Sleep(crashAfter)
			old := list[crashing]
			ended := old.kill(p.store)
			crashed.Add(int64(ended))
			p.note("engine %s is killed, with %d runs", old.id, ended)
			tell(syscall.SIGUSR2)
			time.Sleep(downFor)
			next, err := startEngine(fmt.Sprintf("i-7f3b%02d%02d", crashing, k), ports[crashing])
			if err != nil {
				p.note("engine %s can't start again: %v", next.id, err)
			}
			p.note("engine %s starts at the address of %s", next.id, old.id)
			list[crashing] = next
			time.Sleep(freezeFor - crashAfter - downFor + 500*time.Millisecond)
			thaw.Stop()
		}
	}()
	var wg sync.WaitGroup
	var sent, succeeded, short atomic.Int64
	for n := range clients {
		wg.Go(func() {
			c := &client{front: p.boxes[n%len(p.boxes)].front}
			defer c.close()
			time.Sleep(time.Duration(n) * 19 * time.Millisecond)
			for k := 0; time.Since(begun) < rounds*cycle+2*time.Second; k++ {
				id := fmt.Sprintf("%04x%012x", n, k)
				p.note("client %d sends %s to %s", n, id, p.boxes[n%len(p.boxes)].name)
				sent.Add(1)
				header := fmt.Sprintf("X-Ospreymoor-Model: %s\r\nX-Ospreymoor-Token-Count: 826,%d\r\nX-Ospreymoor-Prompt-Prefix: 5c1e07a2:198,%x:628\r\n", model, events*5, 0x5c1e0000+n*1000+k)
				response, text, err := c.ask(http.MethodPost, "/lohu930/2f", id, 15*time.Second, header, "{}")
				got := strings.Count(text, "data:")
				switch {
				case err != nil:
					p.note("client %d gets no whole answer to %s, %d events: %v", n, id, got, err)
				case response.StatusCode == http.StatusOK && got < events:
					short.Add(1)
					p.note("ORDER: client %d gets %d for %s, complete, with %d of %d events", n, response.StatusCode, id, got, events)
				default:
					if response.StatusCode == http.StatusOK {
						succeeded.Add(1)
					}
					p.note("client %d gets %d for %s, %d events", n, response.StatusCode, id, got)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	<-ended
	p.note("%d requests sent, %d answered whole, %d runs broken off by crashes, %d streams closed as complete before their end", sent.Load(), succeeded.Load(), crashed.Load(), short.Load())
	if int(succeeded.Load()) < int(sent.Load())/2 || (p.trouble && crashed.Load() == 0) {
		return couldNot, fmt.Errorf("%d of %d requests served, %d runs broken off: nothing to judge", succeeded.Load(), sent.Load(), crashed.Load())
	}
	if short.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
