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
	// registrationTTL is how long a box that is gone stays listed: it is called in vain meanwhile, each two seconds, by
	// few. A shorter one costs more renewals.
	registrationTTL = 30 * time.Second
	// registrationRenewal is the time between renewals. A third of the TTL.
	registrationRenewal = 10 * time.Second
	// registrationRetry is the pause after a failure.
	registrationRetry = time.Second
	// deregisterTimeout bounds the end of the registration at a stop.
	deregisterTimeout = time.Second
)

// Registration keeps this box listed in the store.
type Registration struct {
	store kv.Store
	key   string
	box   cluster.Box
	log   *zap.Logger

	// lease is the last one that was granted; listed means that it still holds, as far as is known.
	lease  kv.LeaseID
	listed bool
	// failing means that the last try failed.
	failing bool
}

// NewRegistration returns a registration of a box that is not listed yet.
func NewRegistration(platform Platform, box cluster.Box, log *zap.Logger) *Registration {
	return &Registration{store: platform.Store, key: platform.OwnPrefix + boxPart + box.Name, box: box, log: log}
}

// Run keeps the box listed until ctx ends, and then ends the registration.
func (r *Registration) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = pause.For(ctx, r.next(ctx)) // The loop ends with ctx.
	}
	if r.lease != 0 {
		ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
		defer cancel()
		_ = r.store.Revoke(ending, r.lease) // Where that fails the registration runs out.
	}
}

// next registers or renews, and returns the time until the next call. The first failure in a row is
// logged.
func (r *Registration) next(ctx context.Context) time.Duration {
	err := r.step(ctx)
	if err != nil && !r.failing && ctx.Err() == nil {
		r.log.Info("box not registered: retrying", logfield.Error(err))
	}
	r.failing = err != nil
	if err != nil {
		return registrationRetry
	}
	return registrationRenewal
}

// step renews the registration, or registers where there is none.
func (r *Registration) step(ctx context.Context) error {
	if r.listed {
		err := r.store.Renew(ctx, r.lease)
		if !errors.Is(err, kv.ErrLeaseLost) {
			return err
		}
		r.listed = false
	}
	return r.register(ctx)
}

// register writes the box's record under a new lease, also over that of an earlier process, which is read only
// where there is one, which saves each box that starts a call.
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

// replace writes the box's record over that of an earlier process.
func (r *Registration) replace(ctx context.Context, swap kv.Swap) error {
	earlier, err := r.store.Get(ctx, r.key)
	if err != nil {
		return err
	}
	swap.Revision = earlier.Revision
	_, err = r.store.Swap(ctx, swap)
	return err
}
