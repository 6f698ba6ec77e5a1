package residency

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Ensured tells where what was asked for is, or when it will be.
type Ensured struct {
	// Upstream has it now; empty if none does yet.
	Upstream string `json:"backend,omitempty"`
	// Residency of that engine.
	Residency fleet.Residency `json:"residency,omitzero"`
	Term      int64           `json:"term,omitempty"`
	// Ready is after how long it is probably there; 0 if that is not known.
	Ready time.Duration `json:"ready,omitempty"`
}

// Ensure has an adapter of a model loaded on an engine that holds the model, and returns where.
// For a model that no engine holds it returns at once when the load will be done.
func (c *Controller) Ensure(ctx context.Context, service, model, adapter string) (Ensured, error) {
	term, err := c.mayOrder()
	if err != nil {
		return Ensured{}, err
	}
	c.enter(term)
	pool, described := c.model(service, model)
	if described == nil {
		return Ensured{}, ErrUnknownModel
	}
	if c.copies(service, model) == 0 {
		return Ensured{Ready: c.wantModel(service, model), Term: term}, ErrNoPlace
	}
	if adapter == "" {
		return Ensured{Term: term}, nil
	}
	target, err := c.page(ctx, service, pool, adapterKey{model, adapter})
	if target != nil {
		return Ensured{Upstream: target.id, Residency: target.residency(), Term: term}, nil
	}
	if errors.Is(err, ErrNoPlace) {
		c.Demand.Note(map[ModelKey]float64{{service, model}: crowdedWork}, time.Now())
		return Ensured{Ready: idleTime / 2, Term: term}, err
	}
	return Ensured{Ready: adapterTime, Term: term}, err
}

const (
	// slowPaging is after how long the paging of an adapter is begun on another engine too.
	slowPaging = 80 * time.Millisecond
	// maxPagings bounds on how many engines one adapter is paged for one request.
	maxPagings = 3
)

// paging is an adapter on its way to one engine.
type paging struct {
	engine *engine
	state  *adapterState
}

// loaded tells whether it got there.
func (p paging) loaded() bool {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	return p.state.phase == phaseLoaded
}

// page has an adapter loaded and returns the engine that has it first. Where one engine takes
// longer than usual, another one is tried beside it.
func (c *Controller) page(ctx context.Context, service string, pool *routes.Engines, key adapterKey) (*engine, error) {
	var tried []string
	var pending []paging
	failure := error(ErrNoPlace)
	for {
		more := false
		if len(tried) < maxPagings {
			if next, ok := c.placeAdapter(service, pool, key, tried); ok {
				tried = append(tried, next.engine.id)
				pending = append(pending, next)
				more = true
			}
		}
		if len(pending) == 0 {
			return nil, failure
		}
		done, err := awaitFirst(ctx, pending, more && len(tried) < maxPagings)
		if err != nil {
			return nil, err
		}
		if done < 0 {
			continue // It takes long.
		}
		if pending[done].loaded() {
			return pending[done].engine, nil
		}
		failure = ErrFailed
		pending = slices.Delete(pending, done, done+1)
	}
}

// awaitFirst waits for the first paging to end and returns its index; -1 if hedge is set and all
// take longer than usual.
func awaitFirst(ctx context.Context, pending []paging, hedge bool) (int, error) {
	var ready [maxPagings]chan struct{}
	for i, p := range pending {
		ready[i] = p.state.ready
	}
	var late <-chan time.Time
	if hedge {
		timer := time.NewTimer(slowPaging)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-ready[0]:
		return 0, nil
	case <-ready[1]:
		return 1, nil
	case <-ready[2]:
		return 2, nil
	case <-late:
		return -1, nil
	case <-ctx.Done():
		return -1, ctx.Err()
	}
}

// placeAdapter finds the engine that has or will have an adapter, and begins its load where that
// is needed; false if no engine but those tried can have it now.
func (c *Controller) placeAdapter(service string, pool *routes.Engines, key adapterKey, tried []string) (paging, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best, waiting *engine
	var waitingState *adapterState
	bestCost := 0
	for _, state := range c.Directory.Of(service) {
		if state.Leaving || !state.Holds(key.model) || slices.Contains(tried, state.ID) || c.silent(state.ID) {
			continue
		}
		e := c.engine(state.ID, service)
		if there, slow := e.findAdapter(key); there != nil && !slow {
			return paging{e, there}, true
		} else if there != nil {
			waiting, waitingState = e, there
			continue
		}
		cost, ok := e.adapterCost(pool, key)
		if !ok {
			continue
		}
		cost += c.load(state.ID)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best != nil {
		return paging{best, best.startAdapter(key)}, true
	}
	return paging{waiting, waitingState}, waiting != nil
}
