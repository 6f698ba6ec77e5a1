// Package lease gives one process at a time the right to act, with a term that only grows.
//
// The holder goes by its own clock: it stops acting a margin before the service could give the lease
// away, counted from before the last renewal was sent. A process that was frozen can still act for a
// moment after that, so whoever takes its orders should also refuse lower terms.
//
// Both ways use it, over pkg/kv. `ospreymoor serve` holds one lease a hall and one for the planner:
// Candidate chooses two boxes that contend, and LatestTerm serves repairs while the store is away.
// `ospreymoor node` holds the order lease: MayBeFree and Wake save calls to the store, Reclaim
// shortens restarts, and Claim, Resign and Abandon serve the handover.
package lease

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// ErrNotHeld means that this process has no right to act at the moment.
const ErrNotHeld = errors.ConstError("lease not held: send the work to the box that holds it")

const (
	// defaultTTL is the TTL where the config gives none; both ways give one.
	defaultTTL = 6 * time.Second
	// renewalsPerTTL is how many times in a TTL the lease is looked after, jitter apart. The call that
	// revokes the lease may take the same part of the TTL.
	renewalsPerTTL = 3
	// marginsPerTTL is the TTL by the margin where the config gives none.
	marginsPerTTL = 3
	// jitterFraction is the pause between two looks by the most that chance adds to it, so that
	// contenders do not ask at the same time.
	jitterFraction = 4
	// retriesAfterTTL is for how many TTLs after it had to stop acting a holder goes on renewing: a
	// service that was away may give the lease its full time again.
	retriesAfterTTL = 2
)

// Config defines which lease to hold and how.
type Config struct {
	Store kv.Store
	// Key is the lease's place in the store, such as leases/planner.
	Key string
	// Holder is this process's name, for operators to read and for Reclaim.
	Holder string
	// TTL is how long the service keeps the lease without a renewal; 0 takes 6 s.
	TTL time.Duration
	// Margin is how long before the TTL's end the holder stops acting; 0 takes a third of TTL.
	Margin time.Duration
	// Candidate reports whether this process should hold the lease. One that should not does not
	// contend, and gives the lease back at its next renewal. nil means always.
	Candidate func() bool
	// MayBeFree reports whether a contender should ask the store for the lease: a copy of the store
	// may show that another process holds it. nil means always.
	MayBeFree func() bool
	// Reclaim lets a restarted process take over the lease that its own name still holds, under a
	// higher term, without waiting for its end. Set it only where two processes never run under one
	// name at once.
	Reclaim bool
	// Wake has the lease looked after at once, as when the holder's key went; nil leaves it to the
	// regular times.
	Wake <-chan struct{}
	// Changed is called on each gain (term above 0) and loss (term 0), but not when the time of a
	// lease that is not given up runs out; it must not block.
	Changed func(term int64)
}

// Lease is one process's part in the contest for a lease.
type Lease struct {
	config Config

	mu sync.Mutex
	// term and id are 0 unless the lease was gained and not given up.
	term int64
	id   kv.LeaseID
	// until is when this process must stop acting.
	until time.Time
	// latest is the highest term ever held.
	latest int64
}

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

// Term returns the term under which this process may act now, or ErrNotHeld. It makes no call.
func (l *Lease) Term() (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 || !time.Now().Before(l.until) {
		return 0, errors.Annotatef(ErrNotHeld, "lease %s", l.config.Key)
	}
	return l.term, nil
}

// LatestTerm returns the highest term that this process ever held, 0 if none. Only work that the
// other side checks against the term may be done under it, such as orders to fenced engines while
// the store is away.
func (l *Lease) LatestTerm() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}

// Tenure is a lease that was gained and not given up, though its time may have run out.
type Tenure struct {
	// Term of the lease; 0 if it is not held.
	Term int64
	// Renewed is when the last successful renewal was sent; without meaning at Term 0.
	Renewed time.Time
}

// Tenure returns what is held, also when its time is over and the store has not confirmed that it is
// lost. A holder may act under it only if no other process can have gained the lease, as while no box
// reaches the store; and it shows for how long renewals fail.
func (l *Lease) Tenure() Tenure {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Tenure{Term: l.term, Renewed: l.until.Add(l.config.Margin - l.config.TTL)}
}

// Abandon stops acting under terms below the given one. A holder calls it when another process
// shows that it holds the lease under that term, so that there is nothing to revoke.
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

// Resign stops acting at once and returns the service's lease, 0 if nothing was held. A holder that
// can't reach the store calls it, and has a process that does reach it revoke the lease, so that
// another can gain it before its time runs out.
func (l *Lease) Resign() kv.LeaseID {
	id, had := l.forget()
	if had {
		l.config.Changed(0)
	}
	return id
}

// forget stops acting, and returns what was held.
func (l *Lease) forget() (id kv.LeaseID, had bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, had = l.id, l.term != 0
	l.id, l.term = 0, 0
	return id, had
}
