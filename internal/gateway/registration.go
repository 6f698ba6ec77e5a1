package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// registration keeps this machine listed in the store.
type registration struct {
	store  kv.Store
	key    string
	node   cluster.Box
	log    *zap.Logger
	lease  kv.LeaseID
	listed bool
}

const (
	// registrationTime is how long a machine that is gone stays listed.
	registrationTime = 12 * time.Second
	// registrationRenewal is the time between renewals.
	registrationRenewal = 4 * time.Second
	// registrationRetry is the pause after a failure.
	registrationRetry = time.Second
)

// run keeps the registration until ctx ends, and then ends it.
func (r *registration) run(ctx context.Context) {
	for ctx.Err() == nil {
		span := registrationRenewal
		if err := r.step(ctx); err != nil {
			span = registrationRetry
		}
		_ = pause.For(ctx, span)
	}
	if r.lease != 0 {
		ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), registrationRetry)
		defer cancel()
		_ = r.store.Revoke(ending, r.lease)
	}
}

func (r *registration) step(ctx context.Context) error {
	if r.listed {
		err := r.store.Renew(ctx, r.lease)
		if errors.Is(err, kv.ErrLeaseLost) {
			r.listed = false
		} else {
			return err
		}
	}
	return r.register(ctx)
}

func (r *registration) register(ctx context.Context) error {
	value, err := json.Marshal(r.node)
	if err != nil {
		return errors.Trace(err)
	}
	revision := int64(0)
	current, err := r.store.Get(ctx, r.key)
	switch {
	case err == nil:
		revision = current.Revision
	case !errors.Is(err, kv.ErrNotFound):
		return err
	}
	lease, err := r.store.Grant(ctx, registrationTime)
	if err != nil {
		return err
	}
	if _, err := r.store.Swap(ctx, kv.Swap{Key: r.key, Revision: revision, Value: value, Lease: lease}); err != nil {
		return err
	}
	r.lease, r.listed = lease, true
	return nil
}
