package kv

import (
	"context"
	"time"
)

// Observed returns store with each call's error, or nil, passed to report. `ospreymoor serve` uses it to
// track whether the service answers; in `ospreymoor node` the mirror tracks that.
func Observed(store Store, report func(error)) Store {
	reportRecord, reportRecords := reporting[Record](report), reporting[[]Record](report)
	reportError := func(err error) error { report(err); return err }
	return Store{
		Get: func(ctx context.Context, key string) (Record, error) {
			return reportRecord(store.Get(ctx, key))
		},
		List: func(ctx context.Context, prefix string) ([]Record, error) {
			return reportRecords(store.List(ctx, prefix))
		},
		Snapshot: func(ctx context.Context, prefix string) (Snapshot, error) {
			return reporting[Snapshot](report)(store.Snapshot(ctx, prefix))
		},
		Swap: func(ctx context.Context, swap Swap) (Record, error) {
			return reportRecord(store.Swap(ctx, swap))
		},
		Delete: func(ctx context.Context, key string, revision int64) error {
			return reportError(store.Delete(ctx, key, revision))
		},
		Grant: func(ctx context.Context, ttl time.Duration) (LeaseID, error) {
			return reporting[LeaseID](report)(store.Grant(ctx, ttl))
		},
		Renew: func(ctx context.Context, id LeaseID) error {
			return reportError(store.Renew(ctx, id))
		},
		Revoke: func(ctx context.Context, id LeaseID) error {
			return reportError(store.Revoke(ctx, id))
		},
		Watch: func(ctx context.Context, watching WatchOptions) (<-chan []Event, error) {
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
