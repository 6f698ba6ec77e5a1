package storeview

import (
	"fmt"
	"strings"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// listEntry is what a record of the list of upstreams was decoded to.
type listEntry struct {
	fleet.Upstream
	revision int64
	// unusable is why it names no upstream to use; empty if it names one.
	unusable string
}

// takeUpstreams takes a list of upstreams; only records that changed are decoded. Those that name no upstream to use are left out,
// whatever the upstream was before.
func (v *View) takeUpstreams(state mirror.State) {
	next := make(map[string]listEntry, len(v.upstreams))
	list := make([]fleet.Upstream, 0, len(v.upstreams))
	for key, record := range state.Records {
		if !strings.HasPrefix(key, v.config.Platform.UpstreamPrefix) {
			continue
		}
		entry, ok := v.upstreams[key]
		if !ok || entry.revision != record.Revision {
			entry = v.decodeEntry(record, entry.unusable)
		}
		next[key] = entry
		if entry.unusable == "" {
			list = append(list, entry.Upstream)
		}
	}
	v.upstreams = next
	v.NoteChanges(v.config.Directory.SetList(state.Revision, list, state.PreviousCurrentAt))
}

// decodeEntry decodes a record. One that names no upstream is logged once for each reason, as was the reason of the record before:
// its writer may write it again each second.
func (v *View) decodeEntry(record kv.Record, was string) listEntry {
	upstream, err := v.config.Platform.DecodeUpstream(record)
	if err == nil {
		return listEntry{Upstream: upstream, revision: record.Revision}
	}
	entry := listEntry{revision: record.Revision, unusable: fleet.EntryReason(err)}
	if v.config.Metrics != nil {
		v.config.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_upstream_entries_unusable_total{reason=%q}", entry.unusable)).Inc()
	}
	if entry.unusable != was {
		v.config.Log.Warn("upstream entry unreadable",
			zap.String("key", record.Key), zap.String("reason", entry.unusable), zap.Int64("revision", record.Revision), logfield.Error(err))
	}
	return entry
}

// NoteChanges logs upstreams that joined, went or began to leave, and has those that went forgotten.
// It is safe for concurrent use.
func (v *View) NoteChanges(changes []fleet.Change) {
	for _, change := range changes {
		v.noteChange(change, v.config.Directory.Revision())
	}
}

func (v *View) noteChange(change fleet.Change, revision int64) {
	v.config.Log.Info("upstream "+string(change.Kind),
		zap.String("backend", change.Upstream.ID),
		zap.String("service", change.Upstream.Service),
		zap.String("address", change.Upstream.Address),
		zap.Duration("notice", change.Upstream.Notice),
		zap.Int64("revision", revision))
	if change.Kind == fleet.Removed {
		v.config.Forget(change.Upstream.ID)
	}
}
