package storeview

import (
	"fmt"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// listEntry is what a record of the list of upstreams names.
type listEntry struct {
	// id of the upstream.
	id string
	// unusable is why it names no upstream to use; empty if it names one.
	unusable string
}

// takeUpstreams takes the changes of the list of upstreams. Entries that name no upstream to use are left out, whatever the upstream was
// before.
func (v *View) takeUpstreams(state mirror.State, changed []string) {
	change := fleet.ListChange{PreviousCurrentAt: state.PreviousCurrentAt}
	for _, key := range changed {
		old, was := v.upstreams[key]
		record, held := state.Records.Get(key)
		if !held {
			delete(v.upstreams, key)
		}
		var entry listEntry
		var upstream fleet.Upstream
		if held {
			upstream, entry = v.decodeEntry(record, old.unusable)
			v.upstreams[key] = entry
		}
		usable := held && entry.unusable == ""
		if was && old.unusable == "" && (!usable || old.id != entry.id) {
			change.Dropped = append(change.Dropped, old.id)
		}
		if usable {
			change.Put = append(change.Put, upstream)
		}
	}
	v.NoteChanges(v.config.Directory.ChangeList(state.Revision, change))
}

// decodeEntry decodes a record. One that names no upstream is logged once for each reason, as was the reason of the record before:
// its writer may write it again each second.
func (v *View) decodeEntry(record kv.Record, was string) (fleet.Upstream, listEntry) {
	upstream, err := v.config.Platform.DecodeUpstream(record)
	if err == nil {
		return upstream, listEntry{id: upstream.ID}
	}
	entry := listEntry{unusable: fleet.EntryReason(err)}
	if v.config.Metrics != nil {
		v.config.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_upstream_entries_unusable_total{reason=%q}", entry.unusable)).Inc()
	}
	if entry.unusable != was {
		v.config.Log.Warn("upstream entry unreadable",
			zap.String("key", record.Key), zap.String("reason", entry.unusable), zap.Int64("revision", record.Revision), logfield.Error(err))
	}
	return fleet.Upstream{}, entry
}

// NoteChanges logs upstreams that joined, went or began to leave, and has those that went forgotten.
// It is safe for concurrent use.
func (v *View) NoteChanges(changes []fleet.Change) {
	revision := v.config.Directory.Revision()
	counts := map[fleet.ChangeKind]int{}
	for _, change := range changes {
		counts[change.Kind]++
		if change.Kind == fleet.Removed {
			v.config.Forget(change.Upstream.ID)
		}
		if counts[change.Kind] <= maxChangeLines {
			v.logChange(change, revision)
		}
	}
	for kind, count := range counts {
		if count > maxChangeLines {
			v.config.Log.Info("upstreams changed at once", zap.String("kind", string(kind)), zap.Int("count", count), zap.Int64("revision", revision))
		}
	}
}

// maxChangeLines is how many lines of a kind one change of the list has; a start lists all upstreams of the fleet at once.
const maxChangeLines = 50

func (v *View) logChange(change fleet.Change, revision int64) {
	v.config.Log.Info("upstream "+string(change.Kind),
		zap.String("backend", change.Upstream.ID),
		zap.String("service", change.Upstream.Service),
		zap.String("address", change.Upstream.Address),
		zap.Duration("notice", change.Upstream.Notice),
		zap.Int64("revision", revision))
}
