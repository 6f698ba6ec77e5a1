package storeview

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// quarantinePart follows the own prefix in the keys of requests that are held.
const quarantinePart = "quarantine/"

const (
	// holdCheck is how often this box looks for requests to record. All boxes forget a request that is held when they lose
	// power before it is recorded.
	holdCheck = 250 * time.Millisecond
	// holdRetry is the pause after a write that failed. As that of a registration.
	holdRetry = time.Second
	// witnessDelay is how long a box that saw a crash leaves the record to the box that keeps it. A write is on all boxes
	// within half a second.
	witnessDelay = 2 * time.Second
	// maxHoldTTL is the longest lease of a record; it is made anew where the request is held for longer. Bound of the
	// platform.
	maxHoldTTL = 10 * time.Minute
	// leastHoldTTL is for how long a request must still be held to be recorded.
	leastHoldTTL = 5 * time.Second
	// holdTimeout bounds one call of the store.
	holdTimeout = 2 * time.Second
)

// HoldRecorder records requests that are held in the store, for boxes that start later. Each costs two calls, of one box or of a
// few, while it has no record.
type HoldRecorder struct {
	Platform   Platform
	Quarantine *quarantine.Register
	// Records returns this box's copy of the store.
	Records func() mirror.State
	// Keeps reports whether this box is the one that records a request, ahead of those that saw a crash under it.
	Keeps func(request string) bool
	Log   *zap.Logger

	// failing means that the last write failed.
	failing bool
}

// Run records what is to be until ctx ends.
func (h *HoldRecorder) Run(ctx context.Context) {
	wait := holdCheck
	for pause.For(ctx, wait) == nil {
		wait = holdCheck
		if h.recordNext(ctx) != nil {
			wait = holdRetry
		}
	}
}

// recordNext records one request that has no record yet, so that many at once do not flood the store.
func (h *HoldRecorder) recordNext(ctx context.Context) error {
	records := h.Records().Records
	for _, held := range h.Quarantine.Held() {
		key := h.Platform.OwnPrefix + quarantinePart + held.Request.String()
		recorded, _ := records.Get(key)
		if tellsAsMuch(recorded, &held) || !h.mayRecord(&held) {
			continue
		}
		err := h.record(ctx, kv.Swap{Key: key, Revision: recorded.Revision}, &held)
		if err != nil && !h.failing && ctx.Err() == nil {
			h.Log.Info("held request not recorded: retrying", zap.Stringer("content", held.Request), logfield.Error(err))
		}
		h.failing = err != nil
		return err
	}
	return nil
}

// tellsAsMuch reports whether a record has as many crashes of a request as this box knows; the zero record has none.
func tellsAsMuch(recorded kv.Record, held *quarantine.HeldRequest) bool {
	var stored quarantine.Stored
	// One that can't be read is written over, and takeHeld has logged it.
	return json.Unmarshal(recorded.Value, &stored) == nil && stored.Crashes >= held.Stored.Crashes
}

// mayRecord reports whether this box is to record a request now.
func (h *HoldRecorder) mayRecord(held *quarantine.HeldRequest) bool {
	if held.For < leastHoldTTL {
		return false
	}
	return h.Keeps(held.Request.String()) || held.Seen && held.KnownFor >= witnessDelay
}

// record writes a record that ends with the hold. One that another box wrote meanwhile serves as well.
func (h *HoldRecorder) record(ctx context.Context, swap kv.Swap, held *quarantine.HeldRequest) error {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	value, err := json.Marshal(held.Stored)
	if err != nil {
		return errors.Trace(err)
	}
	lease, err := h.Platform.Store.Grant(ctx, min(held.For, maxHoldTTL))
	if err != nil {
		return err
	}
	swap.Value, swap.Lease = value, lease
	_, err = h.Platform.Store.Swap(ctx, swap)
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

// takeHeld takes in the store's records of requests that are held, those that changed.
func (v *View) takeHeld(state mirror.State, changed []string) {
	prefix := v.config.Platform.OwnPrefix + quarantinePart
	for _, key := range changed {
		text, ok := strings.CutPrefix(key, prefix)
		record, held := state.Records.Get(key)
		if !ok || !held {
			continue
		}
		if err := v.restore(text, record.Value); err != nil {
			v.config.Log.Warn("record of a held request unreadable", zap.String("key", key), logfield.Error(err))
		}
	}
}

func (v *View) restore(text string, value []byte) error {
	request, err := quarantine.ParseFingerprint(text)
	if err != nil {
		return err
	}
	var stored quarantine.Stored
	if err := json.Unmarshal(value, &stored); err != nil {
		return errors.Trace(err)
	}
	v.config.Quarantine.Restore(request, stored)
	return nil
}
