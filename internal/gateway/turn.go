package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

// turnGuard keeps a new holder of the order lease from giving an engine orders before those of
// the former holder are surely over.
//
// The former holder is asked to yield; it stops and tells when it gave each engine its last
// order. If it can't be asked, it is waited for: as long as it may think that it holds the
// lease, and the turn's time.
type turnGuard struct {
	store   kv.Store
	key     string
	name    string
	turn    time.Duration
	held    time.Duration
	started time.Time
	log     *zap.Logger
	address func(name string) (string, bool)
	client  *peer.Client

	mu   sync.Mutex
	term int64
	// open tells that orders may be given under term.
	open bool
	// from is when each engine may be given orders, and fromOthers when all others may.
	from       map[string]time.Time
	fromOthers time.Time
}

// newTurnGuard returns a guard; held is the longest time that a holder acts after a renewal.
func newTurnGuard(config Config, held time.Duration, address func(name string) (string, bool), client *peer.Client) *turnGuard {
	return &turnGuard{
		store:   config.Platform.Store,
		key:     config.Platform.OwnPrefix + lastHolderKey,
		name:    config.Name,
		turn:    config.TurnTime,
		held:    held,
		started: time.Now(),
		log:     config.Log,
		address: address,
		client:  client,
		from:    map[string]time.Time{},
	}
}

// lastHolder is what the store keeps of the machine that last gave orders.
type lastHolder struct {
	Name string `json:"name"`
}

// changed is called when the lease is gained (term above 0) or lost.
func (g *turnGuard) changed(term int64) {
	g.mu.Lock()
	g.term, g.open = term, false
	g.mu.Unlock()
	g.log.Info("order lease", zap.Int64("term", term))
	if term != 0 {
		go g.settle(term, time.Now())
	}
}

// turnRetry is the pause between two tries to learn of the former holder.
const turnRetry = 150 * time.Millisecond

// settle finds out who gave orders last, has that machine stop or waits until it must have, and
// only then notes that this machine gives orders now: one that is killed meanwhile starts anew.
func (g *turnGuard) settle(term int64, gained time.Time) {
	for g.current(term) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		done := g.try(ctx, term, gained)
		cancel()
		if done {
			return
		}
		time.Sleep(turnRetry)
	}
}

// try tells whether orders may begin, now or at each engine's time.
func (g *turnGuard) try(ctx context.Context, term int64, gained time.Time) bool {
	record, err := g.store.Get(ctx, g.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return false
	}
	var last lastHolder
	if err == nil {
		_ = json.Unmarshal(record.Value, &last)
	}
	if last.Name == g.name {
		g.begin(term, nil, time.Time{})
		return true
	}
	from, fromOthers, ok := g.former(ctx, term, last.Name, gained)
	if !ok {
		return false
	}
	value, err := json.Marshal(lastHolder{Name: g.name})
	if err != nil {
		return false
	}
	if _, err := g.store.Swap(ctx, kv.Swap{Key: g.key, Revision: record.Revision, Value: value}); err != nil {
		return false
	}
	g.begin(term, from, fromOthers)
	return true
}

// former finds out when the former holder's time is over, engine by engine.
func (g *turnGuard) former(ctx context.Context, term int64, name string, gained time.Time) (from map[string]time.Time, others time.Time, ok bool) {
	if address, known := g.address(name); known {
		callCtx, cancel := context.WithTimeout(ctx, cluster.CallTimeout)
		answer, err := peer.Call[yieldAnswer](callCtx, g.client, address, methodYield, yieldRequest{Term: term, To: g.name})
		cancel()
		now := time.Now()
		switch {
		case err == nil:
			from = make(map[string]time.Time, len(answer.Ages))
			for engine, age := range answer.Ages {
				from[engine] = now.Add(g.turn - age)
			}
			return from, now.Add(g.turn - answer.Others), true
		case errors.Is(err, syscall.ECONNREFUSED):
			// No process of that machine lives: its last order was before this moment.
			return nil, now.Add(g.turn), true
		}
	}
	// It is asked again and again meanwhile: a machine that was frozen or cut off comes back.
	if over := gained.Add(g.held + g.turn); time.Now().After(over) {
		return nil, over, true
	}
	return nil, time.Time{}, false
}

func (g *turnGuard) current(term int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term == term
}

// begin opens the way for orders under a term.
func (g *turnGuard) begin(term int64, from map[string]time.Time, others time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term != term {
		return
	}
	g.open = true
	if from != nil || !others.IsZero() {
		g.from, g.fromOthers = from, others
	}
	g.log.Info("orders may begin", zap.Int64("term", term), zap.Duration("wait", max(0, time.Until(others))), zap.Int("engines", len(from)))
}

func (g *turnGuard) isOpen(term int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term == term && g.open
}

// notBefore is when an engine may be given orders.
func (g *turnGuard) notBefore(engine string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, ok := g.from[engine]; ok {
		return at
	}
	return g.fromOthers
}

// lastOrders tells a new holder how long ago engines were given orders, by this machine or the
// ones before it.
func (g *turnGuard) lastOrders(ages map[string]time.Duration) yieldAnswer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	answer := yieldAnswer{Ages: ages, Others: now.Sub(g.started)}
	if !g.fromOthers.IsZero() {
		answer.Others = min(answer.Others, g.turn-g.fromOthers.Sub(now))
	}
	for engine, at := range g.from {
		age := g.turn - at.Sub(now)
		if known, ok := ages[engine]; !ok || age < known {
			ages[engine] = min(age, now.Sub(g.started))
		}
	}
	return answer
}
