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

// quarantineKeySegment and partKeySegment follow OwnPrefix in the keys of requests and of parts of prompts that are held
// by quarantine. liftKeySegment does in the keys that an operator writes to end the hold of either.
const (
	quarantineKeySegment = "quarantine/"
	partKeySegment       = "quarantine-parts/"
	liftKeySegment       = "quarantine-lifted/"
)

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

// HoldRecorder writes requests and parts of prompts held by quarantine to the store, so that boxes that start later hold
// them too. Each costs two calls of the store, from one box or from a few, until it has a record. The record of a part
// that turns out to be sound is deleted, since every request with it would be held.
type HoldRecorder struct {
	Platform   Platform
	Quarantine *quarantine.Register
	CrashParts *quarantine.PartRegister
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

// recordNext makes at most one change to the store, so that many held requests do not flood it at once.
func (h *HoldRecorder) recordNext(ctx context.Context) error {
	records := h.Records().Records
	if changed, err := h.recordFirst(ctx, records, quarantineKeySegment, h.Quarantine.Held()); changed {
		return err
	}
	if h.CrashParts == nil {
		return nil
	}
	if changed, err := h.recordFirst(ctx, records, partKeySegment, h.CrashParts.Held()); changed {
		return err
	}
	return h.deleteCleared(ctx, records)
}

// recordFirst records the first one of a list that has no up-to-date record, and reports whether there was one.
func (h *HoldRecorder) recordFirst(ctx context.Context, records mirror.Records, segment string, list []quarantine.HeldRequest) (changed bool, err error) {
	for _, held := range list {
		key := h.Platform.OwnPrefix + segment + held.Request.String()
		existing, _ := records.Get(key)
		if isUpToDate(existing, &held) || !h.mayRecord(&held) {
			continue
		}
		err := h.record(ctx, kv.Swap{Key: key, Revision: existing.Revision}, &held)
		h.noteResult(ctx, key, err)
		return true, err
	}
	return false, nil
}

// deleteCleared deletes the first record of a part that turned out to be sound.
func (h *HoldRecorder) deleteCleared(ctx context.Context, records mirror.Records) error {
	for _, part := range h.CrashParts.Cleared() {
		record, found := records.Get(h.Platform.OwnPrefix + partKeySegment + part.String())
		if !found || !h.IsResponsible(part.String()) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, holdWriteTimeout)
		defer cancel()
		err := h.Platform.Store.Delete(ctx, record.Key, record.Revision)
		if errors.Is(err, kv.ErrConflict) {
			err = nil
		}
		h.noteResult(ctx, record.Key, err)
		return err
	}
	return nil
}

// noteResult logs a failed write if the one before did not fail.
func (h *HoldRecorder) noteResult(ctx context.Context, key string, err error) {
	if err != nil && !h.failing && ctx.Err() == nil {
		h.Log.Info("held request not recorded: retrying", zap.String("key", key), logfield.Error(err))
	}
	h.failing = err != nil
}

// isUpToDate reports whether a record has at least as many crashes of a request as this box knows. The zero record,
// of a key that does not exist, is never up to date.
func isUpToDate(existing kv.Record, held *quarantine.HeldRequest) bool {
	var stored quarantine.Stored
	// An unreadable record is overwritten; applyHeldRequests has logged it.
	return json.Unmarshal(existing.Value, &stored) == nil && stored.Crashes >= held.Stored.Crashes && stored.Level >= held.Stored.Level
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

// applyHeldRequests applies the changed records of requests and of parts of prompts that are held by quarantine, and of
// holds that an operator lifts. A lift is applied only while the changes are live, as it may be older than a hold otherwise.
func (v *View) applyHeldRequests(state mirror.State, changed []string, live bool) {
	for _, key := range changed {
		own, ok := strings.CutPrefix(key, v.config.Platform.OwnPrefix)
		record, found := state.Records.Get(key)
		if !ok || !found {
			continue
		}
		var err error
		if fingerprint, ok := strings.CutPrefix(own, quarantineKeySegment); ok {
			err = restoreHeld(fingerprint, record.Value, v.config.Quarantine.Restore)
		} else if fingerprint, ok := strings.CutPrefix(own, partKeySegment); ok {
			err = restoreHeld(fingerprint, record.Value, v.config.CrashParts.Restore)
		} else if fingerprint, ok := strings.CutPrefix(own, liftKeySegment); ok && live {
			err = v.lift(fingerprint)
		}
		if err != nil {
			v.config.Log.Warn("record of a held request unreadable", zap.String("key", key), logfield.Error(err))
		}
	}
}

// restoreHeld passes a record of a request or part of prompts on to restore.
func restoreHeld(text string, value []byte, restore func(quarantine.Fingerprint, quarantine.Stored)) error {
	fingerprint, err := quarantine.ParseFingerprint(text)
	if err != nil {
		return err
	}
	var stored quarantine.Stored
	if err := json.Unmarshal(value, &stored); err != nil {
		return errors.Trace(err)
	}
	restore(fingerprint, stored)
	return nil
}

// lift ends the hold of a request or part of prompts.
func (v *View) lift(text string) error {
	fingerprint, err := quarantine.ParseFingerprint(text)
	if err != nil {
		return err
	}
	v.config.Log.Info("hold lifted by an operator", zap.Stringer("content", fingerprint))
	v.config.Quarantine.NoteAnswered(fingerprint)
	v.config.CrashParts.Lift(fingerprint)
	return nil
}
