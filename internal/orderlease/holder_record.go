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

// write replaces the record of the box that last gave orders, if it still has the revision.
func (h *handover) write(ctx context.Context, revision int64, record holderRecord) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = h.store.Swap(ctx, kv.Swap{Key: h.key, Revision: revision, Value: value})
	return errors.Trace(err)
}

// settle notes in the store that the waits of a term are over, so that another process of this box need
// not wait again.
func (h *handover) settle(term int64) {
	time.Sleep(time.Until(h.lastWait()))
	if !h.current(term) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	record, err := h.store.Get(ctx, h.key)
	if err == nil && h.decode(record) == (holderRecord{Name: h.name}) {
		err = h.write(ctx, record.Revision, holderRecord{Name: h.name, Settled: true})
	}
	if err != nil {
		h.log.Info("waits not noted as over: another process of this box waits again", zap.Int64("term", term), logfield.Error(err))
	}
}

// lastWait is when the last engine may be given orders.
func (h *handover) lastWait() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.waits.others
	for _, at := range h.waits.byEngine {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// decode returns the record of the box that last gave orders. An unreadable record counts as a box
// that can't be asked, which waits in full; that is logged once a revision.
func (h *handover) decode(record kv.Record) holderRecord {
	var last holderRecord
	err := json.Unmarshal(record.Value, &last)
	h.mu.Lock()
	first := err != nil && h.unreadable != record.Revision
	if first {
		h.unreadable = record.Revision
	}
	h.mu.Unlock()
	if first {
		h.log.Warn("record of the last order holder unreadable: its orders are waited for in full",
			zap.String("key", record.Key), zap.Int64("revision", record.Revision), logfield.Error(err))
	}
	return last
}
