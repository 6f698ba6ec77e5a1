package kv

import (
	"context"
	"time"
)

// Observed returns store with the outcome of each call passed to report: nil, or the call's error.
// `ospreymoor serve` learns by it whether the service answers; on `ospreymoor node` the mirror does.
func Observed(store Store, report func(error)) Store {
	one, list := reporting[Record](report), reporting[[]Record](report)
	none := func(err error) error { report(err); return err }
	return Store{
		Get: func(ctx context.Context, key string) (Record, error) {
			return one(store.Get(ctx, key))
		},
		List: func(ctx context.Context, prefix string) ([]Record, error) {
			return list(store.List(ctx, prefix))
		},
		Snapshot: func(ctx context.Context, prefix string) (Snapshot, error) {
			return reporting[Snapshot](report)(store.Snapshot(ctx, prefix))
		},
		Swap: func(ctx context.Context, swap Swap) (Record, error) {
			return one(store.Swap(ctx, swap))
		},
		Delete: func(ctx context.Context, key string, revision int64) error {
			return none(store.Delete(ctx, key, revision))
		},
		Grant: func(ctx context.Context, ttl time.Duration) (LeaseID, error) {
			return reporting[LeaseID](report)(store.Grant(ctx, ttl))
		},
		Renew: func(ctx context.Context, id LeaseID) error {
			return none(store.Renew(ctx, id))
		},
		Revoke: func(ctx context.Context, id LeaseID) error {
			return none(store.Revoke(ctx, id))
		},
		Watch: func(ctx context.Context, watching Watching) (<-chan []Event, error) {
			return reporting[<-chan []Event](report)(store.Watch(ctx, watching))
		},
	}
}

// reporting returns a function that passes a call's error to report and returns the call's results.
func reporting[T any](report func(error)) func(T, error) (T, error) {
	return func(result T, err error) (T, error) {
		report(err)
		return result, err
	}
}
