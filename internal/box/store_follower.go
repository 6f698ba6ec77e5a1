package box

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/records"
)

const (
	// storeRetryDelay is the pause after a read of the store has failed or a watch has ended, and between two
	// checks whether this box should watch.
	storeRetryDelay = time.Second
	// pollInterval is how often a box that does not watch the store reads it.
	pollInterval = 30 * time.Second
)

// storeFollower keeps the records of the key-value service in the cache. If this box is one of its hall's watchers,
// it watches the store; otherwise it polls at a long interval, in addition to what heartbeats bring. Failures are
// counted and logged by the wrapped store (links.go), so none is logged here.
type storeFollower struct {
	store   kv.Store
	cache   *records.Cache
	members *members
	inForce *bundlesInForce
}

// run follows the store until ctx ends.
func (s *storeFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		from, err := s.read(ctx)
		if err != nil {
			pause(ctx, jitter(storeRetryDelay))
			continue
		}
		if !s.members.selfWatchesStore() {
			s.waitForTurn(ctx)
			continue
		}
		s.watch(ctx, from+1)
		pause(ctx, jitter(storeRetryDelay))
	}
}

// read puts all shared records into the cache and returns the highest revision among them.
func (s *storeFollower) read(ctx context.Context) (int64, error) {
	list, err := s.store.List(ctx, storePrefix)
	if err != nil {
		return 0, err
	}
	var highest int64
	for _, record := range list {
		highest = max(highest, record.Revision)
		s.cacheRecord(record)
	}
	s.inForce.adoptEmptyTable()
	return highest, nil
}

// watch applies changes until the watch ends or other boxes are to watch instead.
func (s *storeFollower) watch(ctx context.Context, from int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := s.store.Watch(ctx, kv.WatchOptions{Prefix: storePrefix, From: from})
	if err != nil {
		return
	}
	check := time.NewTicker(pollInterval)
	defer check.Stop()
	for {
		select {
		case batch, ok := <-events:
			if !ok {
				return
			}
			s.applyEvents(batch)
		case <-check.C:
			if !s.members.selfWatchesStore() {
				return
			}
		}
	}
}

// applyEvents applies a batch of changes. Shared records are never deleted, so deletions are ignored.
func (s *storeFollower) applyEvents(batch []kv.Event) {
	for _, event := range batch {
		if !event.Deleted {
			s.cacheRecord(event.Record)
		}
	}
}

// cacheRecord puts a record of the store into the cache. Its revision is its generation.
func (s *storeFollower) cacheRecord(record kv.Record) {
	s.cache.Put(records.Record{
		Name:       record.Key,
		Generation: records.Generation{Term: record.Revision},
		Value:      record.Value,
	})
}

// waitForTurn waits until the next poll of a box that does not watch, or until the box should watch.
func (s *storeFollower) waitForTurn(ctx context.Context) {
	end := time.Now().Add(jitter(pollInterval))
	for time.Now().Before(end) && pause(ctx, storeRetryDelay) {
		if s.members.selfWatchesStore() {
			return
		}
	}
}
