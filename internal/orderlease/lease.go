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

// Keys in the store below Config.OwnPrefix.
const (
	leaseKey      = "leases/orders"
	lastHolderKey = "leases/last-order-holder"
)

const (
	// marginDivisor gives the margin before the end of the order lease's TTL at which the holder stops acting:
	// TTL / marginDivisor.
	marginDivisor = 4
	// contendJitter is the longest random time that a box waits once it sees the order lease free. Boxes wait for
	// different times, so that one of them takes the lease before the others try.
	contendJitter = 250 * time.Millisecond
	// followerDelay is the least time that boxes of a large fleet wait if they follow a relay. Relays go first: they
	// already know the demand and have the most processor time. A relay takes the order lease within contendJitter,
	// and its hall learns of that with the next exchange.
	followerDelay = 400 * time.Millisecond
	// followerJitter is the longest random time that those boxes wait in addition. Of 300 boxes one contends every
	// 3 ms, and acquiring the order lease takes three calls.
	followerJitter = time.Second
	// orderGapMargin is added to the platform's minimum time between orders of two boxes to one engine.
	orderGapMargin = 500 * time.Millisecond
)

// Config holds the settings and dependencies of an order lease.
type Config struct {
	// Name of this box.
	Name  string
	Store kv.Store
	// OwnPrefix is the prefix of the keys that this program writes.
	OwnPrefix string
	// TTL is how long the order lease lasts without a renewal.
	TTL time.Duration
	// OrderGap is the platform's minimum time between orders of two boxes to one engine. New adds orderGapMargin.
	OrderGap time.Duration
	Peers    Peers
	Client   *peer.Client
	// State returns this box's copy of the store.
	State func() mirror.State
	// Leaving reports whether this box is about to stop.
	Leaving func() bool
	// CutOff returns for how long this box has reached no engine although other boxes do; 0 if it reaches some. nil means
	// never.
	CutOff func() time.Duration
	Log    *zap.Logger
}

// Peers holds the functions by which the order lease learns about the other boxes.
type Peers struct {
	// AddressOf returns the peer address of a box, if it is known.
	AddressOf func(name string) (address string, ok bool)
	// ReachesStore returns the peer address of a box that reaches the store, if there is one.
	ReachesStore func() (address string, ok bool)
	// StoreLostByAll reports whether no known box, this one included, reaches the store.
	StoreLostByAll func() bool
	// Listed reports whether the store is known to have listed this box since it started.
	Listed func() bool
	// HighestTerm returns the highest term of the order lease that this box knows of; nil if it knows of none.
	HighestTerm func() int64
	// FollowsRelay reports whether this box gets the updates of a large fleet from a relay.
	FollowsRelay func() bool
}

// Lease contends for the order lease on behalf of this box and holds it.
type Lease struct {
	Config

	key      string
	lease    *lease.Lease
	handover *handover
	// wake makes the lease be renewed or contended for at once.
	wake chan struct{}

	mu sync.Mutex
	// contendFrom is the time from which this box may contend for a lease that Observe found free. It is zero before
	// that, which does not keep a listed box from contending.
	contendFrom time.Time
}

// New returns an order lease that is not held yet; Run contends for it.
func New(config Config) *Lease {
	margin := config.TTL / marginDivisor
	config.OrderGap += orderGapMargin
	if config.CutOff == nil {
		config.CutOff = func() time.Duration { return 0 }
	}
	if config.Peers.HighestTerm == nil {
		config.Peers.HighestTerm = func() int64 { return 0 }
	}
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
		MayBeFree: func() bool { return l.mayBeFree() && l.mayContend() },
		Wake:      l.wake,
		Term:      l.termAt,
		Changed:   l.handover.leaseChanged,
	})
	held := &l.handover.lease
	held.raiseTerm, held.lastRenewal, held.outlived = l.lease.RaiseTerm, l.lease.LastRenewal, l.outlived
	held.gainedAt = func() int64 { return l.lease.Status().Revision }
	return l
}

// termAt returns the term of a lease that was gained at a revision of the store: the sequence number, unless the store
// came back from a copy and gave out lower ones than before. Engines refuse orders of a lower term.
func (l *Lease) termAt(revision int64) int64 {
	return max(kv.SequenceOf(revision), l.Peers.HighestTerm()+1, l.lease.LatestTerm()+1)
}

// Run contends for the lease and renews it until ctx ends. Then it releases the lease.
func (l *Lease) Run(ctx context.Context) { l.lease.Run(ctx) }

// Held reports whether this box holds the lease by its own clock. Orders may begin later than that; see Term.
func (l *Lease) Held() bool {
	_, err := l.lease.Term()
	return err == nil
}

// Term returns the term under which this box may give orders now. The error is residency.ErrNotHolder, or
// residency.ErrWaiting while the handover has not allowed orders yet.
func (l *Lease) Term() (int64, error) {
	term, err := l.lease.Term()
	if err != nil {
		// The time to act ran out. If no box reaches the store, no other box can have gained the lease.
		term = l.lease.Status().Term
		if term == 0 || !l.Peers.StoreLostByAll() {
			return 0, errors.WithType(err, residency.ErrNotHolder)
		}
	}
	if l.outlived() {
		return 0, errors.Annotate(residency.ErrNotHolder, "the store came back from a copy")
	}
	if !l.handover.mayOrder(term) {
		return 0, residency.ErrWaiting
	}
	return term, nil
}

// outlived reports whether the store came back from a copy since the lease was granted. Another box may have gained it.
func (l *Lease) outlived() bool {
	status := l.lease.Status()
	return status.Term != 0 && l.Store.Epoch != nil && l.Store.Epoch() != status.Epoch
}

// NotBefore returns from when an engine may be given orders after those of the former holder.
func (l *Lease) NotBefore(engine string) time.Time { return l.handover.notBefore(engine) }

// mayBeFree reports whether, by the copy of the store, the lease is free or has this box's name. It returns false if
// this box is leaving, reaches no engine or has no copy yet.
func (l *Lease) mayBeFree() bool {
	if l.Leaving() || l.CutOff() > 0 {
		return false
	}
	state := l.State()
	if state.Revision == 0 {
		return false
	}
	record, held := state.Records.Get(l.key)
	return !held || string(record.Value) == l.Name
}

// mayContend reports whether this box may contend now for a lease that may be free. Each box waits for a random time
// after it sees the lease free, and does not contend before the store lists it: a box that has just started knows too
// few others, and each box that contends in vain costs the store up to four calls.
func (l *Lease) mayContend() bool {
	if !l.Peers.Listed() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !time.Now().Before(l.contendFrom)
}

// scheduleContention sets the time from which this box may contend, and wakes the lease then. The caller holds l.mu.
func (l *Lease) scheduleContention() {
	wait := rand.N(contendJitter)
	if l.Peers.FollowsRelay() {
		wait = followerDelay + rand.N(followerJitter)
	}
	l.contendFrom = time.Now().Add(wait)
	time.AfterFunc(wait, l.wakeUp)
}

// Observe processes a new copy of the store. If the lease is free, or held by an earlier process of this box, this
// box contends for it after a random time.
func (l *Lease) Observe(state mirror.State) {
	if l.outlived() {
		l.wakeUp()
	}
	record, held := state.Records.Get(l.key)
	ofEarlierProcess := held && string(record.Value) == l.Name && l.lease.Status().Term == 0
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case held && !ofEarlierProcess:
		l.contendFrom = time.Time{}
	case l.contendFrom.IsZero() && l.Peers.Listed():
		l.scheduleContention()
	}
}

// wakeUp makes the lease be renewed or contended for at once. It does not block.
func (l *Lease) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
