package gateway

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

// sending is what this box knew when it began to send a request to an upstream, for the log.
type sending struct {
	begunAt time.Time
	// revision is the store revision of the list of upstreams, and listAge how long ago that list was known to be current.
	revision int64
	listAge  time.Duration
	// writtenAfter is the time from begunAt until the first byte was written, in nanoseconds; 0 if none was.
	writtenAfter atomic.Int64
}

// beginSending notes what this box knows now, and returns the function to call before the first byte is written.
func (r *inflight) beginSending() (beforeWrite func() error) {
	sent := &sending{begunAt: time.Now(), revision: r.gateway.Directory.Revision(), listAge: r.gateway.listAge()}
	r.sending = sent
	endpoint, maySend := r.endpoint, r.sendCheck()
	return func() error {
		if err := endpoint.Check(); err != nil {
			return err
		}
		if err := maySend(); err != nil {
			return err
		}
		sent.writtenAfter.Store(int64(time.Since(sent.begunAt)))
		return nil
	}
}

// withdrawn reports whether an attempt was not sent because its upstream may not get it any more: while the attempt
// waited for a connection, the upstream began to leave, its hall was evacuated, or this box began to stop.
func withdrawn(err error) bool {
	return errors.Is(err, fleet.ErrLeaving) || errors.Is(err, fleet.ErrGone) || errors.Is(err, fleet.ErrEvacuated) || errors.Is(err, errStopping)
}

// sendingField is what this box knew when it sent the request for the last time.
func (r *inflight) sendingField() zap.Field {
	if r.sending == nil {
		return zap.Skip()
	}
	return zap.Object("sent", zapcore.ObjectMarshalerFunc(func(object zapcore.ObjectEncoder) error {
		object.AddDuration("after", r.sending.begunAt.Sub(r.request.Arrived))
		object.AddDuration("written", time.Duration(r.sending.writtenAfter.Load()))
		object.AddInt64("listRevision", kv.SequenceOf(r.sending.revision))
		object.AddInt64("storeEpoch", kv.EpochOf(r.sending.revision))
		object.AddDuration("listAge", r.sending.listAge)
		return nil
	}))
}
