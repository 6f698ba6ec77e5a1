package storeview

import (
	"context"
	"encoding/json"
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
	// deregisterTimeout bounds the call that revokes the registration when the box stops.
	deregisterTimeout = time.Second
)

// Registration keeps this box listed in the store.
type Registration struct {
	store kv.Store
	key   string
	box   cluster.Box
	log   *zap.Logger

	// lease is the lease of the latest registration; 0 before the first one. listed means that the lease is not known to
	// be lost.
	lease  kv.LeaseID
	listed bool
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
	if r.lease != 0 {
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
		defer cancel()
		_ = r.store.Revoke(revokeCtx, r.lease) // If this fails, the registration expires with its lease.
	}
}

// attempt registers the box or renews its registration, and returns the time until the next attempt. Only the first
// failure in a row is logged.
func (r *Registration) attempt(ctx context.Context) time.Duration {
	err := r.renewOrRegister(ctx)
	if err != nil && !r.failing && ctx.Err() == nil {
		r.log.Info("box not registered: retrying", logfield.Error(err))
	}
	r.failing = err != nil
	if err != nil {
		return registrationRetryDelay
	}
	return renewalInterval
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
	_, err = r.store.Swap(ctx, swap)
	if errors.Is(err, kv.ErrConflict) {
		err = r.replace(ctx, swap)
	}
	if err != nil {
		return err
	}
	r.lease, r.listed = lease, true
	return nil
}

// replace overwrites the record of an earlier process.
func (r *Registration) replace(ctx context.Context, swap kv.Swap) error {
	earlier, err := r.store.Get(ctx, r.key)
	if err != nil {
		return err
	}
	swap.Revision = earlier.Revision
	_, err = r.store.Swap(ctx, swap)
	return err
}
