package storeview

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// originKeySegment follows OwnPrefix in the keys of records of where streams began.
const originKeySegment = "origins/"

const (
	// originSaveInterval is the time between two writes of records. If all boxes lose power, what was recorded since the
	// latest write is lost.
	originSaveInterval = 500 * time.Millisecond
	// originLeaseTTL is the time after which records are deleted, and originLeaseAge for how long a lease is used for new
	// ones, which then last for origins.Retention at least.
	originLeaseTTL = origins.Retention + originLeaseAge
	originLeaseAge = time.Minute
	// originWriteTimeout bounds one write.
	originWriteTimeout = 2 * time.Second
	// recordsPerKey bounds the records of one key, which is written again with each addition.
	recordsPerKey = 64
	// maxRecordsPerWrite bounds the records of one write in a small fleet, where one box writes, and in a large one, where
	// many do: each box gets what any of them writes.
	maxRecordsPerWrite      = 250
	maxRecordsPerWriteLarge = 16
	// maxWritesBehind bounds the records that wait, in writes. The oldest are dropped: their streams end first.
	maxWritesBehind = 4
)

// OriginRecorder writes records of where streams began to the store, so that they outlast a loss of power of all boxes.
type OriginRecorder struct {
	Platform Platform
	// Incarnation differs with each start of the process.
	Incarnation string
	// Large reports whether many boxes write.
	Large func() bool
	Log   *zap.Logger

	mu      sync.Mutex
	waiting []origins.Record
	dropped int

	// The fields below are used by Run alone.

	lease     kv.LeaseID
	grantedAt time.Time
	// key and revision are those of the key that takes more records, and written its records.
	key      string
	revision int64
	written  []origins.Record
	keys     int
	failing  bool
}

// Add queues records to be written.
func (r *OriginRecorder) Add(records []origins.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = append(r.waiting, records...)
	if excess := len(r.waiting) - maxWritesBehind*r.perWrite(); excess > 0 {
		r.waiting = r.waiting[excess:]
		r.dropped += excess
	}
}

// Dropped returns how many records were not written because there were too many.
func (r *OriginRecorder) Dropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

func (r *OriginRecorder) perWrite() int {
	if r.Large() {
		return maxRecordsPerWriteLarge
	}
	return maxRecordsPerWrite
}

// Run writes records until ctx ends.
func (r *OriginRecorder) Run(ctx context.Context) {
	for pause.For(ctx, originSaveInterval) == nil {
		records := r.take()
		if len(records) == 0 {
			continue
		}
		err := r.write(ctx, records)
		if err != nil {
			r.Add(records)
			if !r.failing && ctx.Err() == nil {
				r.Log.Info("origins of streams not saved: retrying", zap.Int("streams", len(records)), logfield.Error(err))
			}
		}
		r.failing = err != nil
	}
}

// take returns the records of the next write.
func (r *OriginRecorder) take() []origins.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(len(r.waiting), r.perWrite())
	records := r.waiting[:count:count]
	r.waiting = r.waiting[count:]
	return records
}

// write adds records to the current key, or begins a new one. After a failure it begins a new one: whether the write was
// done is not known.
func (r *OriginRecorder) write(ctx context.Context, records []origins.Record) error {
	ctx, cancel := context.WithTimeout(ctx, originWriteTimeout)
	defer cancel()
	if time.Since(r.grantedAt) > originLeaseAge || r.lease == (kv.LeaseID{}) {
		lease, err := r.Platform.Store.Grant(ctx, originLeaseTTL)
		if err != nil {
			return err
		}
		r.lease, r.grantedAt, r.key = lease, time.Now(), ""
	}
	if r.key == "" || len(r.written)+len(records) > recordsPerKey {
		r.keys++
		r.key = fmt.Sprintf("%s%s%s-%d", r.Platform.OwnPrefix, originKeySegment, r.Incarnation, r.keys)
		r.revision, r.written = 0, nil
	}
	r.written = append(r.written, records...)
	value, err := json.Marshal(origins.NewSegment(r.written))
	if err != nil {
		return errors.Trace(err)
	}
	record, err := r.Platform.Store.Swap(ctx, kv.Swap{Key: r.key, Revision: r.revision, Value: value, Lease: r.lease})
	if err != nil {
		r.lease, r.key = kv.LeaseID{}, ""
		return err
	}
	r.revision = record.Revision
	return nil
}

// applyOrigins applies the changed records of where streams began.
func (v *View) applyOrigins(state mirror.State, changed []string) {
	prefix := v.config.Platform.OwnPrefix + originKeySegment
	for _, key := range changed {
		record, found := state.Records.Get(key)
		if !found || !strings.HasPrefix(key, prefix) {
			continue
		}
		if err := v.restoreOrigins(record.Value); err != nil {
			v.config.Log.Warn("origins of streams unreadable", zap.String("key", key), logfield.Error(err))
		}
	}
}

func (v *View) restoreOrigins(value []byte) error {
	var segment origins.Segment
	if err := json.Unmarshal(value, &segment); err != nil {
		return errors.Trace(err)
	}
	records, err := segment.Records()
	if err != nil {
		return err
	}
	v.config.Origins.Add(records...)
	for _, origin := range segment.Origins {
		v.config.Directory.RecordVersion(origin.Service, origin.Version)
	}
	return nil
}
