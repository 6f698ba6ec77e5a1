package orderlease

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// orderBox is a box that gives one engine an order every 20 ms while it may.
type orderBox struct {
	fleet *orderFleet
	name  string
	// storeCut and peersCut cut the box off from the store and from the other boxes.
	storeCut, peersCut atomic.Bool
	stop               func()

	mu        sync.Mutex
	lastOrder time.Time
}

// givenOrder is one order to the engine.
type givenOrder struct {
	box  string
	term int64
	at   time.Time
}

// orderFleet is some boxes that contend for the order lease of a store that comes back from copies.
type orderFleet struct {
	memory  *kv.Memory
	network spectest.Network
	away    atomic.Bool
	boxes   []*orderBox
	// lateWrites counts the writes without an answer that took effect late.
	lateWrites atomic.Int64

	faults sync.Mutex
	// fault returns the fault of a box's write; nil if it has none.
	fault func(b *orderBox, swap kv.Swap) *writeFault

	mu          sync.Mutex
	orders      []givenOrder
	highestTerm int64
	ended       time.Time
}

const (
	platformGap = time.Second
	// calmTime is how long nothing disturbs the boxes at the end: a cut of 5 s, a lease that runs out, and the longest wait
	// for a former holder, with some retries.
	calmTime = 20 * time.Second
)

func (f *orderFleet) address(name string) string { return name + ":1" }

// storeFor returns the store of a box.
func (f *orderFleet) storeFor(b *orderBox) kv.Store {
	store := f.memory.Store()
	var known atomic.Int64 // The epoch that the box's answers named.
	reach := func() error {
		if f.away.Load() || b.storeCut.Load() {
			return kv.ErrUnavailable
		}
		known.Store(f.memory.Epoch())
		return nil
	}
	guarded := store
	guarded.Epoch = known.Load
	guarded.Get = func(ctx context.Context, key string) (kv.Record, error) {
		if err := reach(); err != nil {
			return kv.Record{}, err
		}
		return store.Get(ctx, key)
	}
	guarded.Snapshot = func(ctx context.Context, prefix string) (kv.Snapshot, error) {
		if err := reach(); err != nil {
			return kv.Snapshot{}, err
		}
		return store.Snapshot(ctx, prefix)
	}
	guarded.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
		if err := reach(); err != nil {
			return kv.Record{}, err
		}
		if fault := f.faultOf(b, swap); fault != nil {
			return kv.Record{}, f.loseAnswer(swap, *fault)
		}
		return store.Swap(ctx, swap)
	}
	guarded.Grant = func(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
		if err := reach(); err != nil {
			return kv.LeaseID{}, err
		}
		return store.Grant(ctx, ttl)
	}
	guarded.Renew = func(ctx context.Context, id kv.LeaseID) error {
		if err := reach(); err != nil {
			return err
		}
		return store.Renew(ctx, id)
	}
	guarded.Revoke = func(ctx context.Context, id kv.LeaseID) error {
		if err := reach(); err != nil {
			return err
		}
		return store.Revoke(ctx, id)
	}
	guarded.Watch = func(ctx context.Context, options kv.WatchOptions) (<-chan []kv.Event, error) {
		ctx, cancel := context.WithCancel(ctx)
		batches, err := store.Watch(ctx, options)
		passed := make(chan []kv.Event)
		go func() {
			defer close(passed)
			defer cancel()
			for batch := range batches {
				if reach() != nil {
					return
				}
				passed <- batch
			}
		}()
		return passed, err
	}
	return guarded
}

// setFault sets the fault of writes; nil for none.
func (f *orderFleet) setFault(fault func(*orderBox, kv.Swap) *writeFault) {
	f.faults.Lock()
	defer f.faults.Unlock()
	f.fault = fault
}

// faultOf returns the fault of a box's write; nil if it has none.
func (f *orderFleet) faultOf(b *orderBox, swap kv.Swap) *writeFault {
	f.faults.Lock()
	defer f.faults.Unlock()
	if f.fault == nil {
		return nil
	}
	return f.fault(b, swap)
}

// start starts a process of the box.
func (b *orderBox) start() {
	f := b.fleet
	b.mu.Lock()
	b.lastOrder = time.Time{} // A new process knows none.
	b.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if b.peersCut.Load() {
			return nil, errors.New("cut off")
		}
		return f.network.Dial(ctx, network, address)
	}
	client := peer.NewClient("", dial, metrics.NewSet())
	store := f.storeFor(b)
	var running sync.WaitGroup
	var lease *Lease
	m := &mirror.Mirror{Store: store, OnChange: func(state mirror.State) { lease.Observe(state) }}
	lease = New(Config{
		Name: b.name, Store: store, TTL: 3 * time.Second, OrderGap: platformGap, Log: zap.NewNop(), Client: client,
		Peers: Peers{
			AddressOf:      func(name string) (string, bool) { return f.address(name), name != "" },
			ReachesStore:   func() (string, bool) { return "", false },
			StoreLostByAll: func() bool { return false },
			Listed:         func() bool { return true },
			FollowsRelay:   func() bool { return false },
			HighestTerm:    f.knownTerm,
		},
		State: m.State, Leaving: func() bool { return false },
	})
	server := peer.NewServer("", metrics.NewSet())
	lease.Handle(server, b.lastOrders)
	listener := f.network.Listen(f.address(b.name))
	go server.Serve(listener)
	running.Go(func() { m.Run(ctx) })
	running.Go(func() { lease.Run(ctx) })
	running.Go(func() { lease.ResignWhenCutOff(ctx) })
	running.Go(func() { b.giveOrders(ctx, lease) })
	b.stop = func() {
		cancel()
		_ = listener.Close()
		server.Close()
		client.Close()
		running.Wait()
	}
}

// knownTerm returns the highest term of the orders so far, which all boxes learn from each other.
func (f *orderFleet) knownTerm() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highestTerm
}

func (b *orderBox) lastOrders() map[string]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastOrder.IsZero() {
		return map[string]time.Duration{}
	}
	return map[string]time.Duration{"e": time.Since(b.lastOrder)}
}

func (b *orderBox) giveOrders(ctx context.Context, lease *Lease) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		term, err := lease.Term()
		now := time.Now()
		if err != nil || now.Before(lease.NotBefore("e")) {
			continue
		}
		b.mu.Lock()
		b.lastOrder = now
		b.mu.Unlock()
		b.fleet.mu.Lock()
		b.fleet.orders = append(b.fleet.orders, givenOrder{b.name, term, now})
		b.fleet.highestTerm = max(b.fleet.highestTerm, term)
		b.fleet.mu.Unlock()
	}
}

// given returns the orders so far.
func (f *orderFleet) given() []givenOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.orders)
}

// violations returns which orders an engine must not get: of two boxes within the platform's gap, under a lower term
// than before, or of two boxes under one term.
func (f *orderFleet) violations() []string {
	var list []string
	orders := f.given()
	for n := 1; n < len(orders); n++ {
		last, next := orders[n-1], orders[n]
		gap := next.at.Sub(last.at)
		switch {
		case next.box != last.box && gap < platformGap:
			list = append(list, fmt.Sprintf("%s under %d, %s after %s under %d", next.box, next.term, gap, last.box, last.term))
		case next.term < last.term:
			list = append(list, fmt.Sprintf("term %d of %s after %d of %s", next.term, next.box, last.term, last.box))
		case next.term == last.term && next.box != last.box:
			list = append(list, fmt.Sprintf("term %d of %s and %s", next.term, next.box, last.box))
		}
	}
	return list
}

// changesOfHolder returns how often orders came from another box than the one before.
func (f *orderFleet) changesOfHolder() int {
	changes, orders := 0, f.given()
	for n := 1; n < len(orders); n++ {
		if orders[n].box != orders[n-1].box {
			changes++
		}
	}
	return changes
}

func lastOf(orders []givenOrder) givenOrder { return orders[len(orders)-1] }
