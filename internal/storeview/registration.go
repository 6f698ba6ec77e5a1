package storeview

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

const (
	// registrationTTL is how long a box stays listed after it is gone. Until then a few other boxes call it in vain
	// every two seconds. A shorter TTL costs more renewals.
	registrationTTL = 30 * time.Second
	// renewalInterval is the time between renewals, a third of the TTL.
	renewalInterval = 10 * time.Second
	// registrationRetryDelay is the pause after a failed attempt.
	registrationRetryDelay = time.Second
	// registrationPace is the mean time between the registrations of two boxes after the store came back from a copy: all
	// boxes that started together renew together, and the store refuses writes beyond its rate. Each takes two.
	registrationPace = 20 * time.Millisecond
	// deregisterTimeout bounds the call that revokes the registration when the box stops.
	deregisterTimeout = time.Second
)

// Registration keeps this box listed in the store.
type Registration struct {
	store kv.Store
	key   string
	box   cluster.Box
	log   *zap.Logger
	// Boxes returns the number of boxes; nil counts this one alone. Set it before Run.
	Boxes func() int

	// lease is the lease of the latest registration; the zero value before the first one. listed means that the lease is
	// not known to be lost.
	lease  kv.LeaseID
	listed bool
	// restored means that the store came back from a copy after the registration, which it may still have.
	restored bool
	// failing means that the latest attempt failed.
	failing bool
}

// NewRegistration returns the registration of a box. Run writes it to the store.
func NewRegistration(platform Platform, box cluster.Box, log *zap.Logger) *Registration {
	return &Registration{store: platform.Store, key: platform.OwnPrefix + registrationKeySegment + box.Name, box: box, log: log}
}

// Run keeps the box listed until ctx ends, and then revokes the registration.
func (r *Registration) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = pause.For(ctx, r.attempt(ctx)) // The loop ends with ctx.
	}
	if r.lease != (kv.LeaseID{}) {
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
		defer cancel()
		_ = r.store.Revoke(revokeCtx, r.lease) // If this fails, the registration expires with its lease.
	}
}

// attempt registers the box or renews its registration, and returns the time until the next attempt. Only the first
// failure in a row is logged.
func (r *Registration) attempt(ctx context.Context) time.Duration {
	err := r.renewOrRegister(ctx)
	if errors.Is(err, kv.ErrRestored) {
		r.listed, r.restored = false, true
		return r.spread()
	}
	if err != nil && !r.failing && ctx.Err() == nil {
		r.log.Info("box not registered: retrying", logfield.Error(err))
	}
	r.failing = err != nil
	if err != nil {
		return registrationRetryDelay
	}
	return renewalInterval
}

// spread returns a random time after which this box registers again, so that all boxes together keep to
// registrationPace.
func (r *Registration) spread() time.Duration {
	boxes := 1
	if r.Boxes != nil {
		boxes = max(1, r.Boxes())
	}
	return rand.N(time.Duration(boxes) * registrationPace)
}

// renewOrRegister renews the registration, or registers the box if it has none.
func (r *Registration) renewOrRegister(ctx context.Context) error {
	if r.listed {
		err := r.store.Renew(ctx, r.lease)
		if !errors.Is(err, kv.ErrLeaseLost) {
			return err
		}
		r.listed = false
	}
	return r.register(ctx)
}

// register writes the box's record under a new lease. It first assumes that there is no record; the record of an
// earlier process is read and overwritten only after a conflict. This saves a call for each box that starts without
// one.
func (r *Registration) register(ctx context.Context) error {
	value, err := json.Marshal(r.box)
	if err != nil {
		return errors.Trace(err)
	}
	lease, err := r.store.Grant(ctx, registrationTTL)
	if err != nil {
		return err
	}
	swap := kv.Swap{Key: r.key, Value: value, Lease: lease}
	if r.restored {
		err = r.replace(ctx, swap)
	} else if _, err = r.store.Swap(ctx, swap); errors.Is(err, kv.ErrConflict) {
		err = r.replace(ctx, swap)
	}
	if err != nil {
		return err
	}
	r.lease, r.listed, r.restored = lease, true, false
	return nil
}

// replace overwrites the record of an earlier process, or of this one, if there is one.
func (r *Registration) replace(ctx context.Context, swap kv.Swap) error {
	earlier, err := r.store.Get(ctx, r.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	swap.Revision = earlier.Revision
	_, err = r.store.Swap(ctx, swap)
	return err
}
