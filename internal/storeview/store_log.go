package storeview

import (
	"bytes"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

func (v *View) logConnectivity(err error) {
	if err != nil {
		v.config.Log.Warn("store lost", logfield.Error(err))
	} else {
		v.config.Log.Info("store regained", zap.Int64("epoch", v.storeEpoch()))
	}
}

// storeEpoch returns the store's epoch as its answers name it; 0 if they name none.
func (v *View) storeEpoch() int64 {
	if v.config.Platform.Store.Epoch == nil {
		return 0
	}
	return v.config.Platform.Store.Epoch()
}

// logOlderSnapshot counts a snapshot that is older than this box's copy, and logs the first one for each revision of
// the copy. One that began before the copy's latest change is normal; a series of them shows that the store fell behind.
func (v *View) logOlderSnapshot(snapshot, copied int64) {
	v.countStoreEvent("ospreymoor_store_older_snapshots_total")
	if copied == v.loggedOlderThan {
		return
	}
	v.loggedOlderThan = copied
	v.config.Log.Info("snapshot of the store is older than this box's copy",
		zap.Int64("snapshot", kv.SequenceOf(snapshot)), zap.Int64("revision", kv.SequenceOf(copied)), zap.Int64("epoch", v.storeEpoch()))
}

// logRestored logs and counts that the store came back from a copy, with what the copy of this box had and the store's
// has not: records that are lost, records with another value, and records that had gone.
func (v *View) logRestored(state mirror.State) {
	if kv.EpochOf(v.lastRevision) == 0 && v.lastOrigin == mirror.FromPeer {
		return // The copy so far came from a box of the previous version, which names no epoch.
	}
	v.countStoreEvent("ospreymoor_store_restores_total")
	var lost, reverted, returned int
	for key, record := range v.lastRecords.All() {
		now, found := state.Records.Get(key)
		switch {
		case !found:
			lost++
		case !bytes.Equal(now.Value, record.Value):
			reverted++
		}
	}
	for key := range state.Records.All() {
		if _, found := v.lastRecords.Get(key); !found {
			returned++
		}
	}
	v.config.Log.Warn("store came back from a copy",
		zap.Int64("epoch", kv.EpochOf(state.Revision)),
		zap.Int64("fromEpoch", kv.EpochOf(v.lastRevision)),
		zap.Int64("revision", kv.SequenceOf(state.Revision)),
		zap.Int64("fromRevision", kv.SequenceOf(v.lastRevision)),
		zap.Int("lost", lost), zap.Int("changed", reverted), zap.Int("returned", returned),
		zap.String("origin", string(state.Origin)))
}

// countWatchEnd counts a watch that the store ended, as it does when it has no history since the copy's revision.
func (v *View) countWatchEnd() { v.countStoreEvent("ospreymoor_store_watches_ended_total") }

func (v *View) countStoreEvent(name string) {
	if v.config.Metrics != nil {
		v.config.Metrics.GetOrCreateCounter(name).Inc()
	}
}
