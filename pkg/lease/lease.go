// Package lease gives one process at a time the right to act, with a term that only grows.
//
// The holder goes by its own clock: it treats the lease as lost a margin before the service
// could give it away, counted from before the last renewal was sent. A process that was
// paused can still act for a moment after that, so whoever takes its orders should also
// refuse lower terms.
package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// ErrNotHeld says that this process has no right to act at the moment.
const ErrNotHeld = errors.ConstError("lease not held: send the work to the box that holds it")

// Config says which lease to hold and how.
type Config struct {
	Store kv.Store
	// Key is the lease's place in the store, such as leases/planner.
	Key string
	// Holder is this process's name, for operators to read.
	Holder string
	// TTL is how long the service keeps the lease without a renewal; 0 takes 6 s.
	TTL time.Duration
	// Margin is how long before the TTL's end the holder stops acting; 0 takes a third of TTL.
	Margin time.Duration
	// Candidate tells whether this process should try to take the lease now; nil means always.
	Candidate func() bool
	// Reclaim lets a restarted process take over the lease that its own name still holds, under
	// a higher term. Set it only where two processes never run under one name at once.
	Reclaim bool
	// MayBeFree tells whether this process should ask the store for the lease: what it has heard may
	// tell that another holds it. nil means always.
	MayBeFree func() bool
	// Wake has the lease looked after at once; nil leaves it to the regular times.
	Wake <-chan struct{}
	// Changed is called on each gain (term above 0) and loss (term 0); it must not block.
	Changed func(term int64)
}

// Lease is one process's part in a contest for a lease.
type Lease struct {
	config Config

	mu sync.Mutex
	// term and until hold while the lease is ours.
	term  int64
	until time.Time
	id    kv.LeaseID
	// latest is the highest term ever held.
	latest int64
}

const (
	defaultTTL      = 6 * time.Second
	renewalsPerTTL  = 3
	marginsPerTTL   = 3
	jitterFraction  = 4
	retriesAfterTTL = 2
)

// New returns a lease that is not held yet; Run contends for it.
func New(config Config) *Lease {
	if config.TTL == 0 {
		config.TTL = defaultTTL
	}
	if config.Margin == 0 {
		config.Margin = config.TTL / marginsPerTTL
	}
	if config.Candidate == nil {
		config.Candidate = func() bool { return true }
	}
	if config.MayBeFree == nil {
		config.MayBeFree = func() bool { return true }
	}
	if config.Changed == nil {
		config.Changed = func(int64) {}
	}
	return &Lease{config: config}
}

// Term returns the term under which this process may act now, or ErrNotHeld.
func (l *Lease) Term() (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 || !time.Now().Before(l.until) {
		return 0, errors.Annotatef(ErrNotHeld, "lease %s", l.config.Key)
	}
	return l.term, nil
}

// LatestTerm returns the highest term that this process ever held, 0 if none.
// Only work that the other side checks against the term may be done under it.
func (l *Lease) LatestTerm() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}

// Run contends for the lease and renews it until ctx ends; then it hands the lease back.
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

// Claim is the state of a lease that was gained and not given up, though it may have run out.
type Claim struct {
	// Term of the lease; 0 if it is not held.
	Term int64
	// Renewed is when the last successful renewal was sent.
	Renewed time.Time
}

// Claim returns what is held, also when its time is over and the store has not said so.
func (l *Lease) Claim() Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Claim{Term: l.term, Renewed: l.until.Add(l.config.Margin - l.config.TTL)}
}

// Abandon stops acting under terms below the given one, which another process holds.
func (l *Lease) Abandon(term int64) {
	l.mu.Lock()
	had := l.term != 0 && l.term < term
	if had {
		l.id, l.term = 0, 0
	}
	l.mu.Unlock()
	if had {
		l.config.Changed(0)
	}
}

// Resign stops acting at once and returns the lease, for a process that reaches the store to
// revoke; 0 if nothing was held.
func (l *Lease) Resign() kv.LeaseID {
	l.mu.Lock()
	id, had := l.id, l.term != 0
	l.id, l.term = 0, 0
	l.mu.Unlock()
	if had {
		l.config.Changed(0)
	}
	return id
}

// step renews a lease that is held, or tries to take one that is not.
func (l *Lease) step(ctx context.Context) {
	if id := l.heldID(); id != 0 {
		l.renew(ctx, id)
		return
	}
	if l.config.Candidate() && l.config.MayBeFree() {
		l.take(ctx)
	}
}

func (l *Lease) heldID() kv.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

func (l *Lease) renew(ctx context.Context, id kv.LeaseID) {
	before := time.Now()
	err := l.config.Store.Renew(ctx, id)
	switch {
	case err == nil && l.config.Candidate():
		l.extend(id, before)
	case err == nil, errors.Is(err, kv.ErrLeaseLost):
		// Lost, or another candidate ranks higher now: let it go.
		l.release()
	default:
		l.expireIfDue()
	}
}

// take creates the lease's key if nobody has it; the creation's revision is the term.
func (l *Lease) take(ctx context.Context) {
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
		// Also when the answer got lost: the key then dies with the lease that we revoke.
		_ = store.Revoke(ctx, id)
		return
	}
	l.mu.Lock()
	l.id, l.term, l.latest = id, record.Revision, record.Revision
	l.until = before.Add(l.config.TTL - l.config.Margin)
	l.mu.Unlock()
	l.config.Changed(record.Revision)
}

func (l *Lease) extend(id kv.LeaseID, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return // Given up meanwhile.
	}
	l.until = sent.Add(l.config.TTL - l.config.Margin)
}

// expireIfDue forgets a lease that could not be renewed in time. Its id is kept for a while:
// a service that was down may give it its full time again.
func (l *Lease) expireIfDue() {
	l.mu.Lock()
	late := time.Since(l.until) > retriesAfterTTL*l.config.TTL
	l.mu.Unlock()
	if late {
		l.release()
	}
}

// release gives the lease back, so that another can take it at once.
func (l *Lease) release() {
	l.mu.Lock()
	id, had := l.id, l.term != 0
	l.id, l.term = 0, 0
	l.mu.Unlock()
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
