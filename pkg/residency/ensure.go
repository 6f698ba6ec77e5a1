package residency

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// EnsureResult is where what was asked for is, or when it will be there.
type EnsureResult struct {
	// Upstream has it now; empty if none does yet.
	Upstream string `json:"backend,omitempty"`
	// Residency of that engine.
	Residency fleet.Residency `json:"residency,omitzero"`
	Term      int64           `json:"term,omitempty"`
	// Ready is after how long it is probably there; 0 if that is not known.
	Ready time.Duration `json:"ready,omitempty"`
}

// Want is what a request needs at an engine.
type Want struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Avoid are engines that the asking box may not send anything now. A box of the version before does not read it.
	Avoid []string `json:"avoid,omitempty"`
	// Halls are those whose engines may serve it; empty, and all may. A box of the version before does not read it.
	Halls []string `json:"halls,omitempty"`
}

// allows reports whether an engine in a hall may serve it.
func (w *Want) allows(hall string) bool { return len(w.Halls) == 0 || slices.Contains(w.Halls, hall) }

// crowdedWork is the work, in milliseconds of an engine's time, that is noted for a model each time
// that its engines have no place for an adapter: another replica brings more places.
const crowdedWork = 60

// Ensure has an adapter of a model loaded on an engine that holds the model, and returns where.
// For a model that no engine holds which may serve it, it returns ErrNoPlace at once, with the time until the load is
// done. Other errors are those of Config.Term, ErrUnknownModel, ErrFailed and the context's.
func (c *Controller) Ensure(ctx context.Context, want Want) (EnsureResult, error) {
	service, model, adapter := want.Service, want.Model, want.Adapter
	term, err := c.Term()
	if err != nil {
		return EnsureResult{}, err
	}
	c.enter(term)
	engines, described := c.model(service, model)
	if described == nil {
		return EnsureResult{}, ErrUnknownModel
	}
	if c.replicas(&want) == 0 {
		return EnsureResult{Ready: c.noteMissed(&want), Term: term}, ErrNoPlace
	}
	if adapter == "" {
		return EnsureResult{Term: term}, nil
	}
	target, err := c.ensureAdapter(ctx, engines, &want)
	if target != nil {
		return EnsureResult{Upstream: target.id, Residency: target.residency(), Term: term}, nil
	}
	if errors.Is(err, ErrNoPlace) {
		c.Demand.Note(map[WorkKey]float64{{ModelKey: ModelKey{service, model}}: crowdedWork}, time.Now())
		return EnsureResult{Ready: adapterIdleTime / 2, Term: term}, err
	}
	return EnsureResult{Ready: adapterTime, Term: term}, err
}

// noteMissed notes that a model is asked for which no engine holds, and returns after how long it
// will probably be there.
func (c *Controller) noteMissed(want *Want) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	key := ModelKey{want.Service, want.Model}
	c.missed[key] = missed{at: now, halls: want.Halls}
	if end, ok := c.loadEnds[key]; ok && end.After(now) {
		return end.Sub(now)
	}
	return c.firstReplicaTime(want.Service, want.Model)
}

// firstReplicaTime is how long a model's first replica will probably take, from the nearest copy; 0 if
// the configuration has changed and no longer names the model.
func (c *Controller) firstReplicaTime(service, model string) time.Duration {
	_, described := c.model(service, model)
	if described == nil {
		return 0
	}
	span := described.LoadTime
	for _, state := range c.Directory.OfService(service) {
		if copied, ok := copyTime(described, state.Upstream); ok && state.TakesWork() {
			span = min(span, copied)
		}
	}
	return FirstReplicaTime(span)
}

// FirstReplicaTime is how long it takes until an engine serves a model that none holds, if the load
// itself takes load.
func FirstReplicaTime(load time.Duration) time.Duration {
	return planInterval + noticeTime + unloadTime + load
}
