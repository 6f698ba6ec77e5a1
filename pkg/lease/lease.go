// Package lease lets one process at a time act as the holder of a lease in the key-value store. Each time the lease
// is gained, it has a higher term.
//
// The holder relies on its own clock. It stops acting a margin before the store can give the lease to another
// process, counted from just before it sent the last successful renewal. A process that was frozen can still act for
// a moment after that, so receivers of its orders should also reject lower terms.
//
// Both modes use the package, over pkg/kv. `ospreymoor serve` holds one lease per hall and one for the planner:
// Candidate limits the contenders to two boxes, and LatestTerm allows repairs while the store is unreachable.
// `ospreymoor node` holds the order lease: MayBeFree and Wake save calls to the store, Reclaim shortens restarts, and
// Status, Resign and Abandon serve the handover.
package lease

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// ErrNotHeld reports that this process may not act at the moment.
const ErrNotHeld = errors.ConstError("lease not held: send the work to the box that holds it")

const (
	// defaultTTL is used if Config.TTL is 0. Both modes set Config.TTL.
	defaultTTL = 6 * time.Second
	// renewalsPerTTL is how many times per TTL the lease is renewed or contended for, not counting the jitter. The
	// timeout of the call that revokes the lease is the same fraction of the TTL.
	renewalsPerTTL = 3
	// marginDivisor gives the margin as TTL / marginDivisor if Config.Margin is 0.
	marginDivisor = 3
	// jitterDivisor gives the longest jitter: the pause between two steps of Run, divided by it. The jitter is random
	// and added to the pause. It keeps contenders from calling the store at the same time.
	jitterDivisor = 4
	// overdueRenewalTTLs is for how many TTLs a holder goes on renewing after it had to stop acting: a store that
	// was unavailable may give the lease its full TTL again.
	overdueRenewalTTLs = 2
)

// Config defines which lease to contend for and how.
type Config struct {
	Store kv.Store
	// Key is the lease's key in the store, such as leases/planner.
	Key string
	// Holder is this process's name. It is the value of the key, for operators to read and for Reclaim.
	Holder string
	// TTL is how long the store keeps the lease without a renewal; 0 means 6 s.
	TTL time.Duration
	// Margin is how long before the end of the TTL the holder stops acting; 0 means a third of TTL.
	Margin time.Duration
	// Candidate reports whether this process should hold the lease. While it returns false, the process does not
	// contend, and releases a lease that it holds at the next renewal. nil means always.
	Candidate func() bool
	// MayBeFree reports whether a contender should ask the store for the lease. It returns false, for example, if a
	// copy of the store shows that another process holds the lease. nil means always.
	MayBeFree func() bool
	// Reclaim lets a restarted process take over the lease that its own name still holds, under a higher term,
	// without waiting for it to expire. Set it only if two processes never run under one name at once.
	Reclaim bool
	// Wake makes Run renew or contend at once, for example when the holder's key has been deleted. With nil, Run
	// does so only at its regular interval.
	Wake <-chan struct{}
	// Term returns the term of a lease that was gained at a revision of the store; it must be above all earlier ones. nil
	// uses the revision.
	Term func(revision int64) int64
	// Changed is called with the term (above 0) when the lease is gained, and with 0 when it is lost or given up. It
	// is not called when the time to act runs out before the lease is given up. It must not block.
	Changed func(term int64)
}

// Lease contends for a lease in the store and holds it for one process.
type Lease struct {
	config Config

	mu sync.Mutex
	// term and id are those of the lease since it was gained; 0 once it is lost or given up.
	term int64
	id   kv.LeaseID
	// revision is that of the write by which the lease was gained.
	revision int64
	// actUntil is when this process must stop acting.
	actUntil time.Time
	// highestTerm is the highest term that this process ever held.
	highestTerm int64
}

// New returns a lease that is not held yet; Run contends for it.
func New(config Config) *Lease {
	if config.TTL == 0 {
		config.TTL = defaultTTL
	}
	if config.Margin == 0 {
		config.Margin = config.TTL / marginDivisor
	}
	if config.Candidate == nil {
		config.Candidate = func() bool { return true }
	}
	if config.MayBeFree == nil {
		config.MayBeFree = func() bool { return true }
	}
	if config.Term == nil {
		config.Term = func(revision int64) int64 { return revision }
	}
	if config.Changed == nil {
		config.Changed = func(int64) {}
	}
	return &Lease{config: config}
}

// Term returns the term under which this process may act now, or ErrNotHeld. It does not call the store.
func (l *Lease) Term() (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 || !time.Now().Before(l.actUntil) {
		return 0, errors.Annotatef(ErrNotHeld, "lease %s", l.config.Key)
	}
	return l.term, nil
}

// LatestTerm returns the highest term that this process ever held, or 0 if there is none. Use it only for work whose
// receiver checks the term, such as orders to fenced engines while the store is unreachable.
func (l *Lease) LatestTerm() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highestTerm
}

// Status describes a lease that was gained and not given up. The time to act may have run out.
type Status struct {
	// Term is the lease's term; 0 if the lease is not held.
	Term int64
	// LastRenewal is when the last successful renewal was sent, and Epoch the store's epoch in which the lease was granted.
	// They have no meaning if Term is 0.
	LastRenewal time.Time
	Epoch       int64
	// Revision is that of the write by which the lease was gained.
	Revision int64
}

// Status returns the lease that is held, even if the time to act is over but the store has not confirmed the loss. A
// holder may act under its term only if no other process can have gained the lease, for example while no box reaches
// the store. LastRenewal shows for how long renewals have been failing.
func (l *Lease) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{Term: l.term, LastRenewal: l.lastRenewal(), Epoch: l.id.Epoch, Revision: l.revision}
}

// Abandon gives up the lease if it is held under a term below the given one. A holder calls it when another process
// shows that it holds the lease under the given term, so nothing is left to revoke.
func (l *Lease) Abandon(term int64) {
	l.mu.Lock()
	outdated := l.term != 0 && l.term < term
	if outdated {
		l.id, l.term = kv.LeaseID{}, 0
	}
	l.mu.Unlock()
	if outdated {
		l.config.Changed(0)
	}
}

// RaiseTerm raises the term of the lease that is held above another one, and returns it; 0 if the lease is not held
// under the given term any more. A holder calls it when it learns of a term that is not below its own.
func (l *Lease) RaiseTerm(term, above int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term == 0 || l.term != term {
		return 0
	}
	l.term = max(l.term, above+1)
	l.highestTerm = max(l.highestTerm, l.term)
	return l.term
}

// LastRenewal returns when the last successful renewal was sent, also if the lease was lost since; the zero time if this
// process never held it.
func (l *Lease) LastRenewal() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.highestTerm == 0 {
		return time.Time{}
	}
	return l.lastRenewal()
}

// lastRenewal returns when the last successful renewal was sent. The caller holds the lock.
func (l *Lease) lastRenewal() time.Time { return l.actUntil.Add(l.config.Margin - l.config.TTL) }

// Resign gives up the lease at once and returns its ID in the store, or the zero value if nothing was held. A holder that can't
// reach the store calls it, and asks a process that does reach it to revoke the lease. Another process can then gain
// the lease before its TTL ends.
func (l *Lease) Resign() kv.LeaseID {
	id, wasHeld := l.clearHeld()
	if wasHeld {
		l.config.Changed(0)
	}
	return id
}

// clearHeld gives up the lease in this process and returns what was held. It does not call the store.
func (l *Lease) clearHeld() (id kv.LeaseID, wasHeld bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, wasHeld = l.id, l.term != 0
	l.id, l.term = kv.LeaseID{}, 0
	return id, wasHeld
}
