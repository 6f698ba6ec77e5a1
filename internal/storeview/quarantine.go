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

// quarantineKeySegment follows OwnPrefix in the keys of requests held by quarantine.
const quarantineKeySegment = "quarantine/"

const (
	// holdCheckInterval is how often this box looks for held requests to record. If all boxes lose power before a held
	// request is recorded, it is forgotten.
	holdCheckInterval = 250 * time.Millisecond
	// holdRetryDelay is the pause after a failed write, the same as for a registration.
	holdRetryDelay = time.Second
	// witnessDelay is how long a box that saw a crash leaves the record to the box that is responsible for it. A write
	// reaches all boxes within half a second.
	witnessDelay = 2 * time.Second
	// maxHoldTTL is the longest lease of a record, a limit of the platform. If the request is held for longer, the
	// record is written again.
	maxHoldTTL = 10 * time.Minute
	// minRemainingHold is how long a request must still be held to be worth recording.
	minRemainingHold = 5 * time.Second
	// holdWriteTimeout bounds the calls that write one record: the grant of its lease and the swap together.
	holdWriteTimeout = 2 * time.Second
)

// HoldRecorder writes requests held by quarantine to the store, so that boxes that start later hold them too. Each
// request costs two calls of the store, from one box or from a few, until it has a record.
type HoldRecorder struct {
	Platform   Platform
	Quarantine *quarantine.Register
	// Records returns this box's copy of the store.
	Records func() mirror.State
	// IsResponsible reports whether this box is responsible for recording a request. Boxes that saw a crash under the
	// request record it only after witnessDelay.
	IsResponsible func(request string) bool
	Log           *zap.Logger

	// failing means that the latest write failed.
	failing bool
}

// Run records held requests until ctx ends.
func (h *HoldRecorder) Run(ctx context.Context) {
	wait := holdCheckInterval
	for pause.For(ctx, wait) == nil {
		wait = holdCheckInterval
		if h.recordNext(ctx) != nil {
			wait = holdRetryDelay
		}
	}
}

// recordNext records at most one held request that has no up-to-date record, so that many held requests do not flood
// the store at once.
func (h *HoldRecorder) recordNext(ctx context.Context) error {
	records := h.Records().Records
	for _, held := range h.Quarantine.Held() {
		key := h.Platform.OwnPrefix + quarantineKeySegment + held.Request.String()
		existing, _ := records.Get(key)
		if isUpToDate(existing, &held) || !h.mayRecord(&held) {
			continue
		}
		err := h.record(ctx, kv.Swap{Key: key, Revision: existing.Revision}, &held)
		if err != nil && !h.failing && ctx.Err() == nil {
			h.Log.Info("held request not recorded: retrying", zap.Stringer("content", held.Request), logfield.Error(err))
		}
		h.failing = err != nil
		return err
	}
	return nil
}

// isUpToDate reports whether a record has at least as many crashes of a request as this box knows. The zero record,
// of a key that does not exist, is never up to date.
func isUpToDate(existing kv.Record, held *quarantine.HeldRequest) bool {
	var stored quarantine.Stored
	// An unreadable record is overwritten; applyHeldRequests has logged it.
	return json.Unmarshal(existing.Value, &stored) == nil && stored.Crashes >= held.Stored.Crashes
}

// mayRecord reports whether this box is to record a request now.
func (h *HoldRecorder) mayRecord(held *quarantine.HeldRequest) bool {
	if held.Remaining < minRemainingHold {
		return false
	}
	return h.IsResponsible(held.Request.String()) || held.SeenHere && held.KnownFor >= witnessDelay
}

// record writes a record under a lease that expires with the hold. If another box changed the record meanwhile, that
// one will do.
func (h *HoldRecorder) record(ctx context.Context, swap kv.Swap, held *quarantine.HeldRequest) error {
	ctx, cancel := context.WithTimeout(ctx, holdWriteTimeout)
	defer cancel()
	value, err := json.Marshal(held.Stored)
	if err != nil {
		return errors.Trace(err)
	}
	lease, err := h.Platform.Store.Grant(ctx, min(held.Remaining, maxHoldTTL))
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

// applyHeldRequests applies the changed records of requests held by quarantine.
func (v *View) applyHeldRequests(state mirror.State, changed []string) {
	prefix := v.config.Platform.OwnPrefix + quarantineKeySegment
	for _, key := range changed {
		fingerprint, ok := strings.CutPrefix(key, prefix)
		record, found := state.Records.Get(key)
		if !ok || !found {
			continue
		}
		if err := v.restoreHeldRequest(fingerprint, record.Value); err != nil {
			v.config.Log.Warn("record of a held request unreadable", zap.String("key", key), logfield.Error(err))
		}
	}
}

func (v *View) restoreHeldRequest(fingerprint string, value []byte) error {
	request, err := quarantine.ParseFingerprint(fingerprint)
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
