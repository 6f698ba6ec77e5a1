package storeview

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
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
	originSaveInterval = 100 * time.Millisecond
	// originLeaseTTL is the time after which records are deleted, and originLeaseAge for how long a lease is used for new
	// ones, which then last for origins.Retention at least.
	originLeaseTTL = origins.Retention + originLeaseAge
	originLeaseAge = time.Minute
	// originRetryDelay is the pause after a failed write.
	originRetryDelay = 100 * time.Millisecond
	// rewriteSpan is the age up to which records are written again after the store came back from a copy: the copy is some
	// seconds old, and lacks the records since.
	rewriteSpan = 10 * time.Second
	// originWriteTimeout bounds one write.
	originWriteTimeout = 2 * time.Second
	// maxRecordsPerWrite bounds the records of one write, and maxRecordsPerKey those of one key, which is written again with
	// each addition. All boxes get what is written: 500 records a second take 10 KB a second of each.
	maxRecordsPerWrite = 50
	maxRecordsPerKey   = 2 * maxRecordsPerWrite
	// maxUnwritten bounds the records that wait. The oldest are dropped: their streams end first.
	maxUnwritten = 20 * maxRecordsPerWrite
)

// OriginRecorder writes records of where streams began to the store, so that they outlast a loss of power of all boxes.
type OriginRecorder struct {
	Platform Platform
	// Incarnation differs with each start of the process.
	Incarnation string
	Log         *zap.Logger

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
	// recent holds what was written within rewriteSpan, and epoch is the store's at the latest check.
	recent []originWrite
	epoch  int64
}

// originWrite is one successful write.
type originWrite struct {
	at      time.Time
	records []origins.Record
}

// Add queues records to be written.
func (r *OriginRecorder) Add(records []origins.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = append(r.waiting, records...)
	if excess := len(r.waiting) - maxUnwritten; excess > 0 {
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

// Run writes records until ctx ends, and then what still waits.
func (r *OriginRecorder) Run(ctx context.Context) {
	wait := originSaveInterval
	for pause.For(ctx, wait) == nil {
		wait = r.writeNext(ctx)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	r.writeNext(last)
}

// writeNext writes the records that wait, up to maxRecordsPerWrite, and returns the pause before the next write. Only the
// first failure in a row is logged.
func (r *OriginRecorder) writeNext(ctx context.Context) time.Duration {
	r.requeueLost()
	records := r.take()
	if len(records) == 0 {
		return originSaveInterval
	}
	err := r.write(ctx, records)
	if err != nil && !r.failing {
		r.Log.Info("origins of streams not saved: retrying", zap.Int("streams", len(records)), logfield.Error(err))
	}
	r.failing = err != nil
	if err != nil {
		r.Add(records)
		return originRetryDelay
	}
	return originSaveInterval
}

// requeueLost queues what was written of late once more if the store came back from a copy.
func (r *OriginRecorder) requeueLost() {
	now := time.Now()
	r.recent = slices.DeleteFunc(r.recent, func(write originWrite) bool { return now.Sub(write.at) > rewriteSpan })
	if r.Platform.Store.Epoch == nil {
		return
	}
	epoch := r.Platform.Store.Epoch()
	if epoch == r.epoch {
		return
	}
	r.epoch = epoch
	for _, write := range r.recent {
		r.Add(write.records)
	}
	r.recent = nil
}

// take returns the records of the next write.
func (r *OriginRecorder) take() []origins.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(len(r.waiting), maxRecordsPerWrite)
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
	if r.key == "" || len(r.written)+len(records) > maxRecordsPerKey {
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
	r.recent = append(r.recent, originWrite{at: time.Now(), records: records})
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
