package kv

import (
	"context"
	"time"
)

// Observed returns store with the outcome of each call passed to report: nil, or the call's error.
// `ospreymoor serve` learns by it whether the service answers; on `ospreymoor node` the mirror does.
func Observed(store Store, report func(error)) Store {
	return Store{
		Get: func(ctx context.Context, key string) (Record, error) {
			record, err := store.Get(ctx, key)
			report(err)
			return record, err
		},
		List: func(ctx context.Context, prefix string) ([]Record, error) {
			records, err := store.List(ctx, prefix)
			report(err)
			return records, err
		},
		Snapshot: func(ctx context.Context, prefix string) (Snapshot, error) {
			snapshot, err := store.Snapshot(ctx, prefix)
			report(err)
			return snapshot, err
		},
		Swap: func(ctx context.Context, swap Swap) (Record, error) {
			record, err := store.Swap(ctx, swap)
			report(err)
			return record, err
		},
		Delete: func(ctx context.Context, key string, revision int64) error {
			err := store.Delete(ctx, key, revision)
			report(err)
			return err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (LeaseID, error) {
			id, err := store.Grant(ctx, ttl)
			report(err)
			return id, err
		},
		Renew: func(ctx context.Context, id LeaseID) error {
			err := store.Renew(ctx, id)
			report(err)
			return err
		},
		Revoke: func(ctx context.Context, id LeaseID) error {
			err := store.Revoke(ctx, id)
			report(err)
			return err
		},
		Watch: func(ctx context.Context, watching Watching) (<-chan []Event, error) {
			events, err := store.Watch(ctx, watching)
			report(err)
			return events, err
		},
	}
}
