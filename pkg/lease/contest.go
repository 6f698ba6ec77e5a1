package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// This file has the contest. Errors of the store are not logged here: each is followed by another try
// or by the lease's end, and the store's users note by themselves whether it answers (kv.Observed on
// `serve`, pkg/mirror on `node`).

// Run contends for the lease and renews it until ctx ends; then it gives the lease back.
func (l *Lease) Run(ctx context.Context) {
	defer l.release()
	for {
		l.step(ctx)
		pause := l.config.TTL / renewalsPerTTL
		pause += rand.N(pause / jitterFraction)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		case <-l.config.Wake:
		}
	}
}

// step renews a lease that is held, or contends for one that is not.
func (l *Lease) step(ctx context.Context) {
	if id := l.heldID(); id != 0 {
		l.renew(ctx, id)
		return
	}
	if l.config.Candidate() && l.config.MayBeFree() {
		l.acquire(ctx)
	}
}

func (l *Lease) heldID() kv.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// renew renews a lease, and gives it back if it is lost, if this process is no candidate any more, or
// if renewals have failed for too long.
func (l *Lease) renew(ctx context.Context, id kv.LeaseID) {
	before := time.Now()
	err := l.config.Store.Renew(ctx, id)
	switch {
	case err == nil && l.config.Candidate():
		l.extend(id, before)
	case err == nil, errors.Is(err, kv.ErrLeaseLost), l.renewalsFailedForLong():
		l.release()
	}
}

// extend counts the time to act from before the renewal was sent.
func (l *Lease) extend(id kv.LeaseID, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return // Given up meanwhile.
	}
	l.until = sent.Add(l.config.TTL - l.config.Margin)
}

// renewalsFailedForLong reports whether this process had to stop acting retriesAfterTTL TTLs ago.
func (l *Lease) renewalsFailedForLong() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.until) > retriesAfterTTL*l.config.TTL
}

// acquire creates the lease's key if nobody has it; the creation's revision is the term.
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
		// Another process was first, or the answer got lost: the key then dies with the lease that is
		// revoked. If that fails too, both end with the TTL.
		_ = store.Revoke(ctx, id)
		return
	}
	l.mu.Lock()
	l.id, l.term, l.latest = id, record.Revision, record.Revision
	l.until = before.Add(l.config.TTL - l.config.Margin)
	l.mu.Unlock()
	l.config.Changed(record.Revision)
}

// release gives the lease back, so that another process can gain it at once. If the service can't be
// reached, the lease ends with its TTL.
func (l *Lease) release() {
	id, had := l.forget()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.config.TTL/renewalsPerTTL)
	defer cancel()
	_ = l.config.Store.Revoke(ctx, id)
	if had {
		l.config.Changed(0)
	}
}
