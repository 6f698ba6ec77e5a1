package box

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/records"
)

const (
	// storeRetry is the pause after a watch ended or could not be made.
	storeRetry = time.Second
	// pollInterval is how often a box that does not watch the store reads it itself.
	pollInterval = 30 * time.Second
)

// storeFollower keeps the records of the key-value service in the cache: by a watch if this box is one of its hall's
// watchers, else by a slow poll beside what heartbeats bring. Failures are counted and logged where the store is
// observed (links.go), so none is logged here.
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
			pause(ctx, jitter(storeRetry))
			continue
		}
		if !s.members.selfWatchesStore() {
			s.waitForTurn(ctx)
			continue
		}
		s.watch(ctx, from+1)
		pause(ctx, jitter(storeRetry))
	}
}

// read reads all shared records, and returns the highest revision among them.
func (s *storeFollower) read(ctx context.Context) (int64, error) {
	list, err := s.store.List(ctx, storePrefix)
	if err != nil {
		return 0, err
	}
	var highest int64
	for _, record := range list {
		highest = max(highest, record.Revision)
		s.take(record)
	}
	s.inForce.adoptNothing()
	return highest, nil
}

// watch takes changes in until the watch ends or another box should watch instead.
func (s *storeFollower) watch(ctx context.Context, from int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := s.store.Watch(ctx, kv.Watching{Prefix: storePrefix, From: from})
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
			s.takeEvents(batch)
		case <-check.C:
			if !s.members.selfWatchesStore() {
				return
			}
		}
	}
}

// takeEvents takes a batch of changes in. Shared records are never deleted, so a deletion changes nothing.
func (s *storeFollower) takeEvents(batch []kv.Event) {
	for _, event := range batch {
		if !event.Deleted {
			s.take(event.Record)
		}
	}
}

// take puts a record of the store into the cache; its revision is its generation.
func (s *storeFollower) take(record kv.Record) {
	s.cache.Put(records.Record{
		Name:       record.Key,
		Generation: records.Generation{Term: record.Revision},
		Value:      record.Value,
	})
}

// waitForTurn pauses a box that does not watch, until its next poll or until it should watch.
func (s *storeFollower) waitForTurn(ctx context.Context) {
	end := time.Now().Add(jitter(pollInterval))
	for time.Now().Before(end) && pause(ctx, storeRetry) {
		if s.members.selfWatchesStore() {
			return
		}
	}
}
