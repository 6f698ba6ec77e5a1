package orderlease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/lease"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// Keys below the own prefix of the store.
const (
	leaseKey      = "leases/orders"
	lastHolderKey = "leases/last-order-holder"
)

const (
	// marginsPerTTL is the order lease's TTL by the margin before its end at which the holder
	// stops acting.
	marginsPerTTL = 4
	// wakeSpread spreads the boxes that see the order lease free, so that one takes it.
	wakeSpread = 250 * time.Millisecond
	// followerDelay is by how much longer boxes of a large fleet wait that follow a relay: relays
	// know already what is asked for, and have the most processor time. A relay takes the order lease
	// within wakeSpread, and its hall learns of it by the next exchange.
	followerDelay = 400 * time.Millisecond
	// followerSpread spreads those boxes: of 300 one comes each 3 ms, and taking the order lease
	// takes three calls.
	followerSpread = time.Second
	// orderGapMargin is added to the bound on how far apart orders of two boxes to one engine must
	// be.
	orderGapMargin = 500 * time.Millisecond
)

// Config is what an order lease works with.
type Config struct {
	// Name of this box.
	Name  string
	Store kv.Store
	// OwnPrefix is the prefix of the keys that this program writes.
	OwnPrefix string
	// TTL is how long the order lease lasts without a renewal.
	TTL time.Duration
	// OrderGap is the bound of the platform on how far apart orders of two boxes to one engine must
	// be. New adds orderGapMargin.
	OrderGap time.Duration
	Peers    Peers
	Client   *peer.Client
	// State returns this box's copy of the store.
	State func() mirror.State
	// Leaving reports whether this box is about to stop.
	Leaving func() bool
	Log     *zap.Logger
}

// Peers is what the order lease asks of the other boxes.
type Peers struct {
	// AddressOf returns the peer address of a box, if it is known.
	AddressOf func(name string) (address string, ok bool)
	// ReachesStore returns the peer address of a box that reaches the store, if there is one.
	ReachesStore func() (address string, ok bool)
	// StoreLostByAll reports whether no known box, this one included, reaches the store.
	StoreLostByAll func() bool
	// Listed reports whether the store has listed this box since it started, as far as is known.
	Listed func() bool
	// FollowsRelay reports whether this box learns of a large fleet from a relay.
	FollowsRelay func() bool
}

// Lease is this box's part in the contest for the order lease.
type Lease struct {
	Config

	key      string
	lease    *lease.Lease
	handover *handover
	// wake has the lease looked after at once.
	wake chan struct{}

	mu sync.Mutex
	// turn is when this box may contend for a lease that Observe found free; zero before that.
	turn time.Time
}

// New returns an order lease that is not held yet; Run contends for it.
func New(config Config) *Lease {
	margin := config.TTL / marginsPerTTL
	config.OrderGap += orderGapMargin
	l := &Lease{
		Config:   config,
		key:      config.OwnPrefix + leaseKey,
		handover: newHandover(config, config.TTL-margin),
		wake:     make(chan struct{}, 1),
	}
	l.lease = lease.New(lease.Config{
		Store:     config.Store,
		Key:       l.key,
		Holder:    config.Name,
		TTL:       config.TTL,
		Margin:    margin,
		Reclaim:   true,
		MayBeFree: func() bool { return l.mayBeFree() && l.turnCame() },
		Wake:      l.wake,
		Changed:   l.handover.changed,
	})
	return l
}

// Run contends for the lease and renews it until ctx ends; then it hands the lease back.
func (l *Lease) Run(ctx context.Context) { l.lease.Run(ctx) }

// Held reports whether this box holds the lease by its own clock. Orders may begin later; see Term.
func (l *Lease) Held() bool {
	_, err := l.lease.Term()
	return err == nil
}

// Term returns the term under which this box may give orders at this moment. The error is
// residency.ErrNotHolder, or residency.ErrWaiting before the handover is done.
func (l *Lease) Term() (int64, error) {
	term, err := l.lease.Term()
	if err != nil {
		// The lease ran out. If no box reaches the store, none can have taken it.
		term = l.lease.Status().Term
		if term == 0 || !l.Peers.StoreLostByAll() {
			return 0, errors.WithType(err, residency.ErrNotHolder)
		}
	}
	if !l.handover.done(term) {
		return 0, residency.ErrWaiting
	}
	return term, nil
}

// NotBefore is when an engine may be given orders, after those of the former holder.
func (l *Lease) NotBefore(engine string) time.Time { return l.handover.notBefore(engine) }

// mayBeFree reports whether the lease is this box's to take, as far as is known.
func (l *Lease) mayBeFree() bool {
	if l.Leaving() {
		return false
	}
	state := l.State()
	if state.Revision == 0 {
		return false
	}
	record, held := state.Records.Get(l.key)
	return !held || string(record.Value) == l.Name
}

// turnCame reports whether this box may contend for a lease that may be free. Its turn comes a moment after it
// learns that, another moment on each box, and not before the store lists it: a box that has just started knows
// too few others, and each that contends in vain costs the store up to four calls.
func (l *Lease) turnCame() bool {
	if !l.Peers.Listed() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !time.Now().Before(l.turn)
}

// beginTurn sets when this box may contend. The caller holds the lock.
func (l *Lease) beginTurn() {
	wait := rand.N(wakeSpread)
	if l.Peers.FollowsRelay() {
		wait = followerDelay + rand.N(followerSpread)
	}
	l.turn = time.Now().Add(wait)
	time.AfterFunc(wait, l.wakeUp)
}

// Observe takes a new copy of the store: a lease that is free, or that an earlier process of this
// box holds, is contended for soon.
func (l *Lease) Observe(state mirror.State) {
	record, held := state.Records.Get(l.key)
	ours := held && string(record.Value) == l.Name && l.lease.Status().Term == 0
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case held && !ours:
		l.turn = time.Time{}
	case l.turn.IsZero() && l.Peers.Listed():
		l.beginTurn()
	}
}

// wakeUp has the lease looked after at once.
func (l *Lease) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
