package orderlease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
)

// writeHolder replaces the record of the box that last gave orders if its revision is still the given one.
func (h *handover) writeHolder(ctx context.Context, revision int64, record holderRecord) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = h.store.Swap(ctx, kv.Swap{Key: h.key, Revision: revision, Value: value})
	return errors.Trace(err)
}

// recordSettled waits until the waits of a term are over and records that in the store, so that another process of
// this box need not wait again.
func (h *handover) recordSettled(term int64) {
	time.Sleep(time.Until(h.lastWaitEnd()))
	if !h.holds(term) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	record, err := h.store.Get(ctx, h.key)
	if last := h.decodeHolder(record); err == nil && last.Name == h.name && !last.Settled {
		last.Settled = true
		err = h.writeHolder(ctx, record.Revision, last)
	}
	if err != nil {
		h.log.Info("end of the waits not recorded: another process of this box waits again", zap.Int64("term", term), logfield.Error(err))
	}
}

// lastWaitEnd returns the time from which all engines may be given orders.
func (h *handover) lastWaitEnd() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.waitEnds.others
	for _, at := range h.waitEnds.byEngine {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// decodeHolder returns the record of the box that last gave orders. An unreadable record is treated as a box that
// can't be asked, so the full wait applies; it is logged once per revision.
func (h *handover) decodeHolder(record kv.Record) holderRecord {
	var last holderRecord
	err := json.Unmarshal(record.Value, &last)
	h.mu.Lock()
	first := err != nil && h.unreadableRevision != record.Revision
	if first {
		h.unreadableRevision = record.Revision
	}
	h.mu.Unlock()
	if first {
		h.log.Warn("record of the last order holder unreadable: waiting as for a box that can't be asked",
			zap.String("key", record.Key), zap.Int64("revision", kv.SequenceOf(record.Revision)), logfield.Error(err))
	}
	return last
}

// logUnrecorded logs the first failed write of the record under a term. A write without an answer may still be done.
func (h *handover) logUnrecorded(term, revision int64, err error) {
	h.mu.Lock()
	first := h.unrecordedTerm != term
	h.unrecordedTerm = term
	h.mu.Unlock()
	if first {
		h.log.Info("order holder not recorded: orders wait",
			zap.Int64("term", term), zap.Int64("revision", kv.SequenceOf(revision)), logfield.Error(err))
	}
}
