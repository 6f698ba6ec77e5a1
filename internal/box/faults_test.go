package box

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
	"ospreymoor.example/ospreymoor/internal/standin"
)

// mangler returns a function that drops, duplicates and delays the messages of answers, ends answers early, and mixes
// messages of different answers.
func mangler(seed uint64) func(*enginev1.GenerateResponse) []*enginev1.GenerateResponse {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 4))
	var held *enginev1.GenerateResponse
	return func(m *enginev1.GenerateResponse) []*enginev1.GenerateResponse {
		mu.Lock()
		defer mu.Unlock()
		switch random.IntN(60) {
		case 0: // Dropped.
			return nil
		case 1: // Duplicated.
			return []*enginev1.GenerateResponse{m, m}
		case 2: // Held back and sent with the next message, whichever answer that belongs to.
			held = m
			return nil
		case 3: // The answer ends early.
			return []*enginev1.GenerateResponse{{RequestId: m.GetRequestId(), Index: m.GetIndex() + 1, Last: true}}
		}
		if held != nil {
			late := held
			held = nil
			return []*enginev1.GenerateResponse{late, m}
		}
		return []*enginev1.GenerateResponse{m}
	}
}

// boxPicker picks random boxes while boxes are stopped and replaced.
type boxPicker struct {
	mu     sync.Mutex
	fleet  *testFleet
	random *rand.Rand
}

func newBoxPicker(t *testFleet, seed uint64) *boxPicker {
	return &boxPicker{fleet: t, random: rand.New(rand.NewPCG(seed, 5))}
}

func (p *boxPicker) pick() (string, *testBox) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := fmt.Sprintf("h%d-b%d", 1+p.random.IntN(2), 1+p.random.IntN(2))
	return id, p.fleet.boxes[id]
}

// replace kills a random box and starts another in its place.
func (p *boxPicker) replace(spec fleetSpec) {
	id, b := p.pick()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.kill(id)
	p.fleet.startBox(spec, b.config.Hall, id)
}

// injectRandomFaults injects one random fault after another until ctx ends.
func injectRandomFaults(ctx context.Context, t *testFleet, spec fleetSpec, boxes *boxPicker, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 6))
	for pause(ctx, time.Duration(200+random.IntN(1500))*time.Millisecond) {
		engine := fmt.Sprintf("h%d-e%d", 1+random.IntN(2), 1+random.IntN(2))
		switch random.IntN(7) {
		case 0:
			boxes.replace(spec)
		case 1:
			t.net.reset(engine)
		case 2:
			t.engines[engine].Restart()
			t.net.reset(engine)
		case 3:
			t.platform.SetMode(standin.FaultDown)
			pause(ctx, time.Duration(random.IntN(4000))*time.Millisecond)
			t.platform.SetMode(standin.FaultNone)
		case 4:
			t.platform.SetMode(standin.FaultLostAnswer)
			pause(ctx, time.Duration(random.IntN(500))*time.Millisecond)
			t.platform.SetMode(standin.FaultNone)
		case 5:
			inside, outside := t.hosts("h2")
			t.net.setPartition(true, inside, outside)
			pause(ctx, time.Duration(random.IntN(4000))*time.Millisecond)
			t.net.setPartition(false, inside, outside)
		case 6:
			_, b := boxes.pick()
			t.net.reset(b.host)
		}
	}
}

// orderFaults loses, delays and reorders orders to an engine.
type orderFaults struct {
	mu     sync.Mutex
	random *rand.Rand
	// maxDelay bounds the delay after which an order takes effect.
	maxDelay time.Duration
}

func (f *orderFaults) onOrder(context.Context, string) error {
	f.mu.Lock()
	dice, late := f.random.IntN(6), time.Duration(f.random.Int64N(int64(f.maxDelay)))
	f.mu.Unlock()
	switch dice {
	case 0:
		return connect.NewError(connect.CodeInternal, errors.New("order lost"))
	case 1, 2, 3:
		time.Sleep(late)
	}
	return nil
}

// lossyPlatform returns a fault function with which some calls of the key-value service fail, and others take effect
// but lose their answer.
func lossyPlatform(seed uint64) func(string) standin.Fault {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	return func(string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		switch random.IntN(20) {
		case 0:
			return standin.FaultDown
		case 1, 2:
			return standin.FaultLostAnswer
		}
		return standin.FaultNone
	}
}

// drain stops a random box as planned and starts another in its place.
func (p *boxPicker) drain(spec fleetSpec) {
	id, b := p.pick()
	b.stop()
	<-b.stopped
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet.boxes[id] == b {
		p.fleet.stoppedBoxes = append(p.fleet.stoppedBoxes, b)
		p.fleet.startBox(spec, b.config.Hall, id)
	}
}

func (p *boxPicker) boxHosts() (hosts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.fleet.boxes {
		hosts = append(hosts, b.host)
	}
	return hosts
}

func (p *boxPicker) hosts(hall string) (inside, outside []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.hosts(hall)
}
