package customers

import (
	"context"
	"sync"
	"time"
)

const (
	// askTimeout bounds one ask of a keeper. A request of a service that aims at 0.3 s waits for two in vain at most,
	// and then goes by its box's own account. An answer takes 3 ms between halls.
	askTimeout = 100 * time.Millisecond
	// longestClosed is for how long a box refuses a customer's requests without asking, after a keeper refused one. It
	// bounds what a flood of one customer costs its keeper to five asks a second from each box.
	longestClosed = 200 * time.Millisecond
	// maxBatch is how many requests one ask is for.
	maxBatch = 256
	// maxWaiting bounds the requests of one customer that wait for an answer; those beyond are refused. What a box
	// takes in within both timeouts at 10,000 requests a second.
	maxWaiting = 2000
	// settleTTL is for how long what was spent on other accounts is still to be settled with the fleet's. Later the fleet's
	// account has known for long that this box is out of touch, and holds no part for it.
	settleTTL = 2 * time.Second
	// settleInterval is the time between two tries to settle.
	settleInterval = 250 * time.Millisecond
)

// Verdict is whether a request is within its customer's quota, with what that went by.
type Verdict struct {
	Granted bool
	// RetryAfter is after how long a request that is not granted probably is; Never, and it has no such time.
	RetryAfter time.Duration
	// Scope, Level and Share are those of the account that decided.
	Scope Scope
	Level float64
	Share float64
	// Age is how long ago the account was asked.
	Age time.Duration
}

// Spender takes the costs of this box's requests off their customers' quotas. Requests of one customer that come while a
// keeper is asked are asked for together. It is safe for concurrent use.
type Spender struct {
	// Ask asks the keeper of an account. An error means that it does not answer, and the next scope is tried; that of
	// BoxScope always answers.
	Ask func(ctx context.Context, ask Ask) (Grant, error)

	mu     sync.Mutex
	queues map[string]*queue
}

// queue is what waits for one customer's keeper.
type queue struct {
	limit   Limit
	version int64
	waiting []waiting
	// asking means that a goroutine asks for the queue.
	asking bool
	// unsettled was spent on other accounts than the fleet's, or less than 0 was taken there and is returned; since is
	// when that began.
	unsettled float64
	since     time.Time
	// closed is until when requests are refused without asking, as refused says, which was said at told.
	closed, told time.Time
	refused      Verdict
}

type waiting struct {
	cost    float64
	verdict chan Verdict
}

// NewSpender returns a spender that asks by the function.
func NewSpender(ask func(ctx context.Context, ask Ask) (Grant, error)) *Spender {
	return &Spender{Ask: ask, queues: map[string]*queue{}}
}

// Take takes a request's cost off its customer's quota in a version of the configuration, or refuses it. It answers
// within both timeouts of an ask.
func (s *Spender) Take(customer *Customer, version int64, cost float64) Verdict {
	s.mu.Lock()
	q := s.queue(customer, version)
	now := time.Now()
	if now.Before(q.closed) || len(q.waiting) >= maxWaiting {
		defer s.mu.Unlock()
		return q.refuse(now)
	}
	w := waiting{cost: cost, verdict: make(chan Verdict, 1)}
	q.waiting = append(q.waiting, w)
	s.start(customer.Name, q)
	s.mu.Unlock()
	return <-w.verdict
}

// Return gives back the cost of a request that was granted, did not run and never will.
func (s *Spender) Return(customer *Customer, version int64, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue(customer, version).noteUnsettled(-cost, time.Now())
}

// Run settles what is unsettled until ctx ends.
func (s *Spender) Run(ctx context.Context) {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.settleAll()
		}
	}
}

// settleAll has the queues asked for that have something to settle.
func (s *Spender) settleAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, q := range s.queues {
		if q.pending(time.Now()) != 0 {
			s.start(name, q)
		}
	}
}

// queue returns a customer's queue under its latest limit. The caller holds the lock.
func (s *Spender) queue(customer *Customer, version int64) *queue {
	q := s.queues[customer.Name]
	if q == nil {
		q = &queue{}
		s.queues[customer.Name] = q
	}
	if version >= q.version {
		q.limit, q.version = customer.Limit, version
	}
	return q
}

// start has a queue asked for, if it is not. The caller holds the lock.
func (s *Spender) start(name string, q *queue) {
	if !q.asking {
		q.asking = true
		go s.askAll(name, q)
	}
}

// askAll asks until nobody waits. An ask that only settles is made once.
func (s *Spender) askAll(name string, q *queue) {
	for settle := true; ; settle = false {
		ask, batch, more := s.next(name, q, settle)
		if !more {
			return
		}
		asked := time.Now()
		grant, scope := s.askScopes(ask)
		s.answer(q, ask, batch, grant, scope, asked)
	}
}

// next takes the next ask out of a queue; one that only settles if settle is set. It reports false, and the goroutine
// ends, if there is nothing to ask.
func (s *Spender) next(name string, q *queue, settle bool) (ask Ask, batch []waiting, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(q.waiting), maxBatch)
	if n == 0 && (!settle || q.pending(time.Now()) == 0) {
		q.asking = false
		return Ask{}, nil, false
	}
	batch = q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	ask = Ask{Customer: name, Limit: q.limit, Version: q.version, Settled: q.pending(time.Now())}
	q.unsettled = 0
	for _, w := range batch {
		ask.Costs = append(ask.Costs, w.cost)
	}
	return ask, batch, true
}

// askScopes asks one account after the other until one answers. Only the fleet's is asked to settle alone.
func (s *Spender) askScopes(ask Ask) (Grant, Scope) {
	settled := ask.Settled
	for _, scope := range []Scope{FleetScope, HallScope, BoxScope} {
		ask.Scope, ask.Settled = scope, 0
		if scope == FleetScope {
			ask.Settled = settled
		} else if len(ask.Costs) == 0 {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		grant, err := s.Ask(ctx, ask)
		cancel()
		// An error needs no line: whoever asks the keeper logs when it loses and regains it.
		if err == nil && len(grant.Waits) == len(ask.Costs) {
			return grant, scope
		}
	}
	return Grant{}, ""
}

// answer gives all requests of an ask their verdicts, and notes what is to be settled.
func (s *Spender) answer(q *queue, ask Ask, batch []waiting, grant Grant, scope Scope, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if scope != FleetScope {
		// The keeper may have taken it: what was spent is told again, what is returned is not.
		q.unsettled += max(0, ask.Settled)
	}
	verdict := Verdict{Scope: scope, Level: grant.Level, Share: grant.Share, Age: now.Sub(asked)}
	for i, w := range batch {
		v := verdict
		if scope != "" {
			v.Granted, v.RetryAfter = grant.Waits[i] == 0, grant.Waits[i]
		}
		if v.Granted && scope != FleetScope {
			q.noteUnsettled(w.cost, now)
		}
		if !v.Granted && v.RetryAfter != Never {
			q.close(v, now)
		}
		w.verdict <- v
	}
}

// close has the next requests refused without asking until the time that the first refused one was told. The caller holds the
// lock.
func (q *queue) close(refused Verdict, now time.Time) {
	if !now.Before(q.closed) {
		q.closed = now.Add(min(longestClosed, refused.RetryAfter))
	}
	q.refused, q.told = refused, now
}

// refuse is the verdict of a request that is refused without asking. The caller holds the lock.
func (q *queue) refuse(now time.Time) Verdict {
	v := q.refused
	if v.RetryAfter <= 0 {
		v.RetryAfter = longestClosed // None was refused yet: more wait than are asked for.
	}
	v.Age += now.Sub(q.told)
	return v
}

// noteUnsettled adds to what is to be settled. The caller holds the lock.
func (q *queue) noteUnsettled(units float64, now time.Time) {
	if units == 0 {
		return
	}
	if q.unsettled == 0 {
		q.since = now
	}
	q.unsettled += units
}

// pending is what is to be settled. What is too old is dropped. The caller holds the lock.
func (q *queue) pending(now time.Time) float64 {
	if now.Sub(q.since) > settleTTL {
		q.unsettled = 0
	}
	return q.unsettled
}
