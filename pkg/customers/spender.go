package customers

import (
	"context"
	"sync"
	"time"
)

const (
	// askTimeout bounds one call to a keeper. It is set for services with a target of 0.3 s: a SpendRequest takes at
	// most two timeouts, the fleet's keeper's and the hall's, and is then decided by its box's own account. An answer
	// takes 3 ms between halls.
	askTimeout = 100 * time.Millisecond
	// refusalTTL is how long a box refuses a customer's requests of a class without asking, after a keeper refused
	// one. With a flood of one class from one customer, each box asks the keeper at most five times per second.
	refusalTTL = 200 * time.Millisecond
	// maxBatch is the largest number of requests whose costs one SpendRequest contains.
	maxBatch = 256
	// maxPending bounds the requests of one customer that wait for an answer; further ones are refused. It is the
	// number that a box receives within both timeouts at 10,000 requests per second.
	maxPending = 2000
	// settleTTL is how long spending on other accounts is kept to be settled with the fleet's account. After that
	// time, the fleet's account has long noticed that this box is unreachable, and holds no part for it.
	settleTTL = 2 * time.Second
	// settleInterval is the time between two attempts to settle.
	settleInterval = 250 * time.Millisecond
)

// Verdict tells whether a request is within its customer's quota, and by which account.
type Verdict struct {
	Granted bool
	// RetryAfter is the time after which a refused request will probably be granted, or Never.
	RetryAfter time.Duration
	// Scope, Level and Share describe the account that decided.
	Scope Scope
	Level float64
	Share float64
	// Threshold is the level above which the account grants requests of the class.
	Threshold float64
	// Age is the time since the account was asked.
	Age time.Duration
}

// Spender charges the costs of this box's requests to their customers' quotas. Requests of one customer that arrive
// while a keeper is asked are batched into the next SpendRequest. It is safe for concurrent use.
type Spender struct {
	// AskKeeper asks the keeper of an account. After an error, which means that the keeper does not answer, the next
	// scope is tried. BoxScope always answers.
	AskKeeper func(ctx context.Context, ask SpendRequest) (Grant, error)

	mu     sync.Mutex
	queues map[string]*queue
}

// queue holds the requests that wait for one customer's keeper.
type queue struct {
	limit   Limit
	version int64
	pending []pendingRequest
	// asking means that a goroutine is processing the queue.
	asking bool
	// unsettled is what was spent on other accounts than the fleet's. It is negative if units that were taken from
	// the fleet's account are returned. since is when it began to accumulate.
	unsettled float64
	since     time.Time
	refusals  refusals
}

type pendingRequest struct {
	cost    float64
	class   Class
	verdict chan Verdict
}

// NewSpender returns a spender that asks keepers with the given function.
func NewSpender(ask func(ctx context.Context, ask SpendRequest) (Grant, error)) *Spender {
	return &Spender{AskKeeper: ask, queues: map[string]*queue{}}
}

// Take charges a request's cost, in its class, to its customer's quota in a version of the configuration, or refuses
// the request. A request that is not refused at once may first wait for the SpendRequest under way, and for others if
// more than maxBatch requests are pending, and then waits for its own. Each SpendRequest takes at most two times
// askTimeout, for the fleet's keeper and the hall's, since the box's own account always answers.
func (s *Spender) Take(customer *Customer, version int64, class Class, cost float64) Verdict {
	s.mu.Lock()
	q := s.queue(customer, version)
	now := time.Now()
	by := q.refusals.binding(class, now)
	if by == nil && len(q.pending) >= maxPending {
		by = &q.refusals.latest
	}
	if by != nil {
		defer s.mu.Unlock()
		return q.refusals.refuse(class, cost, *by, now)
	}
	w := pendingRequest{cost: cost, class: class, verdict: make(chan Verdict, 1)}
	q.pending = append(q.pending, w)
	s.startAsking(customer.Name, q)
	s.mu.Unlock()
	return <-w.verdict
}

// Return gives back the cost of a granted request that did not run and never will.
func (s *Spender) Return(customer *Customer, version int64, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue(customer, version).addUnsettled(-cost, time.Now())
}

// Run settles spending with the fleet's accounts until ctx ends.
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

// settleAll starts asking for the queues that have something to settle.
func (s *Spender) settleAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, q := range s.queues {
		if q.currentUnsettled(time.Now()) != 0 {
			s.startAsking(name, q)
		}
	}
}

// queue returns a customer's queue, updated to the latest limit. The caller holds the lock.
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

// startAsking starts a goroutine that processes the queue, unless one is running. The caller holds the lock.
func (s *Spender) startAsking(name string, q *queue) {
	if !q.asking {
		q.asking = true
		go s.drainQueue(name, q)
	}
}

// drainQueue asks until no request is pending. If none was pending, it asks once if there is something to settle.
func (s *Spender) drainQueue(name string, q *queue) {
	for settle := true; ; settle = false {
		ask, batch, ok := s.nextSpendRequest(name, q, settle)
		if !ok {
			return
		}
		asked := time.Now()
		grant, scope := s.askInOrder(ask)
		s.deliver(q, ask, batch, grant, scope, asked)
	}
}

// nextSpendRequest builds a SpendRequest from the next requests of a queue, or one that only settles if settle is set
// and no request is pending. It reports false if there is nothing to ask; the goroutine then ends.
func (s *Spender) nextSpendRequest(name string, q *queue, settle bool) (ask SpendRequest, batch []pendingRequest, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(q.pending), maxBatch)
	if n == 0 && (!settle || q.currentUnsettled(time.Now()) == 0) {
		q.asking = false
		return SpendRequest{}, nil, false
	}
	batch = q.pending[:n:n]
	q.pending = q.pending[n:]
	ask = SpendRequest{Customer: name, Limit: q.limit, Version: q.version, Settled: q.currentUnsettled(time.Now())}
	q.unsettled = 0
	ask.Classes = &ClassList{}
	for _, w := range batch {
		ask.Costs = append(ask.Costs, w.cost)
		ask.Classes.Of = append(ask.Classes.Of, ask.Classes.index(w.class))
	}
	q.refusals.report(ask.Classes)
	return ask, batch, true
}

// askInOrder asks one account after another until one answers. Without costs, only the fleet's account is asked.
func (s *Spender) askInOrder(ask SpendRequest) (Grant, Scope) {
	settled := ask.Settled
	for _, scope := range []Scope{FleetScope, HallScope, BoxScope} {
		ask.Scope, ask.Settled = scope, 0
		if scope == FleetScope {
			ask.Settled = settled
		} else if len(ask.Costs) == 0 {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		grant, err := s.AskKeeper(ctx, ask)
		cancel()
		// Not logged here: internal/cluster logs when a keeper is lost or regained.
		if err == nil && len(grant.Waits) == len(ask.Costs) {
			return grant, scope
		}
	}
	return Grant{}, ""
}

// deliver gives all requests of a batch their verdicts, and records what must be settled.
func (s *Spender) deliver(q *queue, ask SpendRequest, batch []pendingRequest, grant Grant, scope Scope, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if scope != FleetScope {
		// The keeper may have applied it without answering: spending is reported again, returned units are not.
		q.unsettled += max(0, ask.Settled)
	}
	verdict := Verdict{Scope: scope, Level: grant.Level, Share: grant.Share, Age: now.Sub(asked)}
	for i, w := range batch {
		v := verdict
		if scope != "" {
			v.Granted, v.RetryAfter = grant.Waits[i] == 0, grant.Waits[i]
			v.Threshold = grant.threshold(ask.Classes, i)
		}
		if v.Granted && scope != FleetScope {
			q.addUnsettled(w.cost, now)
		}
		if !v.Granted && v.RetryAfter != Never {
			q.refusals.add(w.class, v, now)
		}
		w.verdict <- v
	}
}

// addUnsettled adds to what must be settled. The caller holds the lock.
func (q *queue) addUnsettled(units float64, now time.Time) {
	if units == 0 {
		return
	}
	if q.unsettled == 0 {
		q.since = now
	}
	q.unsettled += units
}

// currentUnsettled returns what must be settled, and drops it if it is too old. The caller holds the lock.
func (q *queue) currentUnsettled(now time.Time) float64 {
	if now.Sub(q.since) > settleTTL {
		q.unsettled = 0
	}
	return q.unsettled
}
