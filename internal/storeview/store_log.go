package storeview

import (
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/logfield"
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
		zap.Int64("snapshot", snapshot), zap.Int64("revision", copied), zap.Int64("epoch", v.storeEpoch()))
}

// countWatchEnd counts a watch that the store ended, as it does when it has no history since the copy's revision.
func (v *View) countWatchEnd() { v.countStoreEvent("ospreymoor_store_watches_ended_total") }

func (v *View) countStoreEvent(name string) {
	if v.config.Metrics != nil {
		v.config.Metrics.GetOrCreateCounter(name).Inc()
	}
}
