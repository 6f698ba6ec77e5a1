// Package routing chooses the upstream of a request.
//
// Reports of an engine's load lag, so the estimate of its wait adds what this box and its
// peers have sent there since the report. Requests that share a prompt's beginning are drawn
// to the engine that has it cached, as long as that costs less than waiting there.
package routing

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrNoUpstream says that no upstream that holds what is needed can be reached.
const ErrNoUpstream = errors.ConstError("no upstream holds the model at the moment: try again later")

// Candidate is an upstream that could take a request.
type Candidate struct {
	ID string
	// Distance is the extra time to reach it, as for another hall.
	Distance time.Duration
	// Slots is how many requests it runs at once at full speed.
	Slots int
	// Running and Queued are its last report.
	Running int
	Queued  int
	// Reported is when the report was made.
	Reported time.Time
	// PeersSent is what other boxes sent there since.
	PeersSent int
	// Boxes is how many boxes send there, this one included; 0 takes 1.
	Boxes int
}

// Choice is an upstream with the wait to expect there.
type Choice struct {
	ID string
	// Wait until a slot is free, with the distance.
	Wait time.Duration
	// Prefix tells that the prompt's beginning is probably cached there.
	Prefix bool
}

// Config sets how a router estimates.
type Config struct {
	// Prefixes is how many prompt beginnings are remembered; 0 takes 20,000.
	Prefixes int
	// PrefixGain is the wait that a cached prefix is worth; 0 takes 150 ms.
	PrefixGain time.Duration
	// Service is the expected time in a slot before any was measured; 0 takes 2 s.
	Service time.Duration
	// Random returns a number below n; nil takes math/rand.
	Random func(n int) int
}

const (
	defaultPrefixes   = 20_000
	defaultPrefixGain = 150 * time.Millisecond
	defaultService    = 2 * time.Second
	// nearlyEqual is the difference of waits below which the choice is random.
	nearlyEqual = time.Millisecond
	// staleReport is the age from which a report says nothing any more.
	staleReport = 10 * time.Second
	// serviceWeight is the weight of one measured time in the running mean.
	serviceWeight = 0.05
)

// Router chooses upstreams and learns from what comes of it. It is safe for concurrent use.
type Router struct {
	config   Config
	prefixes *prefixes

	mu       sync.Mutex
	engines  map[string]*engineView
	services map[string]time.Duration
}

// engineView is what this box did to one upstream.
type engineView struct {
	// inFlight requests of this box.
	inFlight int
	// sent are the times of this box's latest dispatches, oldest first.
	sent []time.Time
	// total counts all dispatches.
	total int64
	// avoidUntil is set after a failure.
	avoidUntil time.Time
}

// New returns a router.
func New(config Config) *Router {
	if config.Prefixes == 0 {
		config.Prefixes = defaultPrefixes
	}
	if config.PrefixGain == 0 {
		config.PrefixGain = defaultPrefixGain
	}
	if config.Service == 0 {
		config.Service = defaultService
	}
	if config.Random == nil {
		config.Random = rand.IntN
	}
	return &Router{
		config:   config,
		prefixes: newPrefixes(config.Prefixes),
		engines:  map[string]*engineView{},
		services: map[string]time.Duration{},
	}
}

// Pick chooses the candidate with the least estimated wait for a request on a model.
// Upstreams that failed lately are used only when no other is left.
func (r *Router) Pick(model, prompt string, candidates []Candidate) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.prefixes.holders(model, prompt)
	choice, ok := r.best(model, cached, candidates, false)
	if !ok {
		choice, ok = r.best(model, cached, candidates, true)
	}
	if !ok {
		return Choice{}, errors.Annotatef(ErrNoUpstream, "model %s", model)
	}
	return choice, nil
}

func (r *Router) best(model string, cached map[string]float64, candidates []Candidate, avoided bool) (Choice, bool) {
	var best Choice
	bestCost := time.Duration(math.MaxInt64)
	ties := 0
	for _, c := range candidates {
		if !avoided && r.avoided(c.ID) {
			continue
		}
		share := cached[c.ID]
		wait := r.wait(model, c)
		cost := wait - time.Duration(share*float64(r.config.PrefixGain))
		switch {
		case cost < bestCost-nearlyEqual:
			ties = 1
		case cost > bestCost+nearlyEqual:
			continue
		default:
			ties++
			if r.config.Random(ties) != 0 {
				continue
			}
		}
		best, bestCost = Choice{ID: c.ID, Wait: wait, Prefix: share > 0}, cost
	}
	return best, ties > 0
}

// wait estimates how long a request sent now waits for a slot.
func (r *Router) wait(model string, c Candidate) time.Duration {
	slots := max(1, c.Slots)
	ahead := c.Running + c.Queued + c.PeersSent + r.sentSince(c.ID, c.Reported)
	if time.Since(c.Reported) > staleReport {
		// Nobody reports any more: take the other boxes to be as busy there as this one.
		ahead = r.view(c.ID).inFlight * max(1, c.Boxes)
	}
	ahead = max(ahead, r.view(c.ID).inFlight)
	excess := ahead + 1 - slots
	if excess <= 0 {
		return c.Distance
	}
	return c.Distance + time.Duration(float64(excess)/float64(slots)*float64(r.service(model)))
}

// Sent notes a dispatch; the function it returns notes the request's end.
func (r *Router) Sent(model, prompt, upstream string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	view := r.view(upstream)
	view.inFlight++
	view.total++
	view.sent = append(view.sent, now)
	r.prefixes.add(model, prompt, upstream)
	var once sync.Once
	return func() { once.Do(func() { r.ended(upstream) }) }
}

func (r *Router) ended(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view(upstream).inFlight--
}

// Served notes how long a request was in a slot.
func (r *Router) Served(model string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean := r.service(model)
	r.services[model] = mean + time.Duration(serviceWeight*float64(took-mean))
}

// Failed keeps requests from an upstream for a while.
func (r *Router) Failed(upstream string, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view(upstream).avoidUntil = time.Now().Add(pause)
}

// CacheGone notes that an upstream dropped its cached prefixes, as after a restart.
func (r *Router) CacheGone(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes.forget(upstream)
}

// Forget drops what is known of upstreams that keep rejects and that have nothing in flight.
func (r *Router) Forget(keep func(upstream string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, view := range r.engines {
		if view.inFlight == 0 && !keep(id) {
			delete(r.engines, id)
		}
	}
}

// Totals returns how many requests this box has sent to each upstream so far.
func (r *Router) Totals() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := make(map[string]int64, len(r.engines))
	for id, view := range r.engines {
		if view.total > 0 {
			totals[id] = view.total
		}
	}
	return totals
}

func (r *Router) avoided(upstream string) bool {
	return time.Now().Before(r.view(upstream).avoidUntil)
}

// sentSince counts this box's dispatches since a report, and forgets the older ones.
func (r *Router) sentSince(upstream string, reported time.Time) int {
	view := r.view(upstream)
	first := 0
	for first < len(view.sent) && view.sent[first].Before(reported) {
		first++
	}
	view.sent = view.sent[first:]
	return len(view.sent)
}

func (r *Router) service(model string) time.Duration {
	if mean, ok := r.services[model]; ok {
		return mean
	}
	return r.config.Service
}

func (r *Router) view(upstream string) *engineView {
	view, ok := r.engines[upstream]
	if !ok {
		view = &engineView{}
		r.engines[upstream] = view
	}
	return view
}

// Service is the mean time that a request on a model takes in a slot.
func (r *Router) Service(model string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(model)
}
