package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// This file acquires, renews and releases the lease. It does not log errors of the store: after each one the call
// is retried or the lease ends, and the users of the store track its availability themselves (kv.Observed in
// `ospreymoor serve`, pkg/mirror in `ospreymoor node`).

// Run contends for the lease and renews it until ctx ends. Then it releases the lease.
func (l *Lease) Run(ctx context.Context) {
	defer l.release()
	for {
		l.step(ctx)
		pause := l.config.TTL / renewalsPerTTL
		pause += rand.N(pause / jitterDivisor)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		case <-l.config.Wake:
		}
	}
}

// step renews the lease if it is held, and tries to acquire it otherwise.
func (l *Lease) step(ctx context.Context) {
	if id := l.heldID(); id != (kv.LeaseID{}) {
		l.renew(ctx, id)
		return
	}
	l.contend(ctx)
}

// contend tries to acquire the lease if this process should hold it and it may be free.
func (l *Lease) contend(ctx context.Context) {
	if l.config.Candidate() && l.config.MayBeFree() {
		l.acquire(ctx)
	}
}

func (l *Lease) heldID() kv.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// renew renews the lease. It releases the lease if the store reports its loss, if this process is no candidate any
// more, or if renewals have failed for too long. If the store came back from a copy, the lease may be lost or its id
// another one's, so that it is released and contended for at once.
func (l *Lease) renew(ctx context.Context, id kv.LeaseID) {
	before := time.Now()
	err := l.config.Store.Renew(ctx, id)
	switch {
	case err == nil && l.config.Candidate():
		l.extend(id, before)
	case errors.Is(err, kv.ErrRestored):
		l.release()
		l.contend(ctx)
	case err == nil, errors.Is(err, kv.ErrLeaseLost), l.renewalOverdue():
		l.release()
	}
}

// extend sets the time to act, counted from just before the renewal was sent.
func (l *Lease) extend(id kv.LeaseID, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return // The lease was given up while the renewal was in flight.
	}
	l.actUntil = sent.Add(l.config.TTL - l.config.Margin)
}

// renewalOverdue reports whether this process had to stop acting more than overdueRenewalTTLs TTLs ago.
func (l *Lease) renewalOverdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.actUntil) > overdueRenewalTTLs*l.config.TTL
}

// acquire creates the lease's key if no process holds it. With Config.Reclaim it also replaces a key that still has
// this process's name.
func (l *Lease) acquire(ctx context.Context) {
	store := l.config.Store
	current, err := store.Get(ctx, l.config.Key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		current = kv.Record{}
	case err != nil:
		return
	case !l.config.Reclaim || string(current.Value) != l.config.Holder:
		return
	}
	before := time.Now()
	id, err := store.Grant(ctx, l.config.TTL)
	if err != nil {
		return
	}
	swap := kv.Swap{Key: l.config.Key, Revision: current.Revision, Value: []byte(l.config.Holder), Lease: id}
	record, err := store.Swap(ctx, swap)
	if err != nil {
		// Another process was first, or the answer was lost. In the second case the key may exist: revoking
		// the lease deletes it. If the revocation fails too, both expire with the TTL.
		_ = store.Revoke(ctx, id)
		return
	}
	term := l.config.Term(record.Revision)
	l.mu.Lock()
	l.id, l.term, l.highestTerm, l.revision = id, term, max(l.highestTerm, term), record.Revision
	l.actUntil = before.Add(l.config.TTL - l.config.Margin)
	l.mu.Unlock()
	l.config.Changed(term)
}

// release revokes the lease, so that another process can gain it at once. If the store is unreachable, the lease
// expires with its TTL.
func (l *Lease) release() {
	id, wasHeld := l.clearHeld()
	if id == (kv.LeaseID{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.config.TTL/renewalsPerTTL)
	defer cancel()
	_ = l.config.Store.Revoke(ctx, id)
	if wasHeld {
		l.config.Changed(0)
	}
}
