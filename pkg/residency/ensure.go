package residency

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// EnsureResult tells which engine has the requested model or adapter, or when one will have it.
type EnsureResult struct {
	// Upstream is the engine that has it now; empty if none does yet.
	Upstream string `json:"backend,omitempty"`
	// Residency is that of the engine.
	Residency fleet.Residency `json:"residency,omitzero"`
	Term      int64           `json:"term,omitempty"`
	// ReadyIn is the time until it is probably available; 0 if that is not known.
	ReadyIn time.Duration `json:"ready,omitempty"`
}

// Want describes what a request needs from an engine.
type Want struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Avoid lists engines to which the calling box may not send anything now. Boxes of the previous version
	// ignore it.
	Avoid []string `json:"avoid,omitempty"`
	// Halls are those whose engines may serve the request; if empty, all may. Boxes of the previous version
	// ignore it.
	Halls []string `json:"halls,omitempty"`
	// SoftwareVersion is that of the engines that may serve the request; if empty, all may. Boxes of the previous
	// version ignore it.
	SoftwareVersion string `json:"softwareVersion,omitempty"`
}

// engineFilter restricts the engines that may serve a request.
type engineFilter struct {
	// Halls and SoftwareVersion are those of the engines; if empty, all may.
	Halls           []string
	SoftwareVersion string
}

// restricts reports whether the filter leaves out any engine.
func (f *engineFilter) restricts() bool { return len(f.Halls) > 0 || f.SoftwareVersion != "" }

// allows reports whether an engine in a hall, with a software version, may serve the request.
func (f *engineFilter) allows(hall, softwareVersion string) bool {
	return (len(f.Halls) == 0 || slices.Contains(f.Halls, hall)) && (f.SoftwareVersion == "" || f.SoftwareVersion == softwareVersion)
}

func (w *Want) filter() engineFilter {
	return engineFilter{Halls: w.Halls, SoftwareVersion: w.SoftwareVersion}
}

// allows reports whether an engine may serve the request.
func (w *Want) allows(state *fleet.State) bool {
	filter := w.filter()
	return filter.allows(state.Hall, state.SoftwareVersion)
}

// slotShortageWork is the work, in milliseconds of an engine's time, that is added to a model's demand each
// time its engines have no free slot for an adapter: another replica brings more slots.
const slotShortageWork = 60

// Ensure makes sure that an adapter is loaded on an engine that holds its model, and returns that engine. If
// no engine that may serve the request holds the model, it returns ErrNoCapacity at once, with the time until
// the model is probably loaded. Other errors are those of Config.Term, ErrUnknownModel, ErrFailed and the
// context's.
func (c *Controller) Ensure(ctx context.Context, want Want) (EnsureResult, error) {
	service, model, adapter := want.Service, want.Model, want.Adapter
	term, err := c.Term()
	if err != nil {
		return EnsureResult{}, err
	}
	c.enterTerm(term)
	engines, described := c.model(service, model)
	if described == nil {
		return EnsureResult{}, ErrUnknownModel
	}
	if c.replicas(&want) == 0 {
		return EnsureResult{ReadyIn: c.recordMiss(&want), Term: term}, ErrNoCapacity
	}
	if adapter == "" {
		return EnsureResult{Term: term}, nil
	}
	target, err := c.ensureAdapter(ctx, engines, &want)
	if target != nil {
		return EnsureResult{Upstream: target.id, Residency: target.residency(), Term: term}, nil
	}
	if errors.Is(err, ErrNoCapacity) {
		c.Demand.Note(map[WorkKey]float64{{ModelKey: ModelKey{service, model}}: slotShortageWork}, time.Now())
		return EnsureResult{ReadyIn: adapterIdleTime / 2, Term: term}, err
	}
	return EnsureResult{ReadyIn: adapterLoadTime, Term: term}, err
}

// recordMiss records a request for a model that no engine holds, and returns the time until the model is
// probably loaded.
func (c *Controller) recordMiss(want *Want) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	key := ModelKey{want.Service, want.Model}
	c.missed[key] = missedRequest{at: now, engineFilter: want.filter()}
	if end, ok := c.loadEnds[key]; ok && end.After(now) {
		return end.Sub(now)
	}
	return c.firstReplicaTime(want.Service, want.Model)
}

// firstReplicaTime estimates how long a model's first replica takes to become available, loaded from the
// fastest source. It returns 0 if the configuration has changed and no longer contains the model.
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

// FirstReplicaTime returns the expected time until an engine serves a model that none holds, given the
// duration of the load itself.
func FirstReplicaTime(load time.Duration) time.Duration {
	return planInterval + withdrawalDelay + unloadTime + load
}
