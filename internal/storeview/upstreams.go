package storeview

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// applyUpstreams applies changes of the list of upstreams. An upstream whose entry no longer names a usable upstream
// is dropped from the list. restored means that the store came back from a copy since the previous state.
func (v *View) applyUpstreams(state mirror.State, changed []string, restored bool) {
	change := fleet.ListChange{PreviousCurrentAt: state.PreviousCurrentAt, Restored: restored}
	for _, key := range changed {
		oldID, wasUsable := v.upstreamIDs[key]
		upstream, usable := v.decodeEntry(key, state)
		if wasUsable && (!usable || oldID != upstream.ID) {
			change.Dropped = append(change.Dropped, oldID)
			delete(v.upstreamIDs, key)
		}
		if usable {
			change.Put = append(change.Put, upstream)
			v.upstreamIDs[key] = upstream.ID
		}
	}
	v.NoteChanges(v.config.Directory.ChangeList(state.Revision, change))
}

// decodeEntry decodes the record of a key, and reports whether it names a usable upstream. An unusable entry is
// logged only when the reason changes, because its writer may write it again every second.
func (v *View) decodeEntry(key string, state mirror.State) (upstream fleet.Upstream, usable bool) {
	previousReason := v.unusableReasons[key]
	delete(v.unusableReasons, key)
	record, found := state.Records.Get(key)
	if !found {
		return fleet.Upstream{}, false
	}
	upstream, err := v.config.Platform.DecodeUpstream(record)
	if err == nil {
		return upstream, true
	}
	reason := fleet.EntryReason(err)
	v.unusableReasons[key] = reason
	if v.config.Metrics != nil {
		v.config.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_upstream_entries_unusable_total{reason=%q}", reason)).Inc()
	}
	if reason != previousReason {
		v.config.Log.Warn("upstream entry unreadable",
			zap.String("key", record.Key), zap.String("reason", reason), zap.Int64("revision", kv.SequenceOf(record.Revision)), logfield.Error(err))
	}
	return fleet.Upstream{}, false
}

// NoteChanges logs changes of upstreams, and calls Config.Forget for each removed upstream. Beyond maxNamedChanges
// changes of a kind within namedChangesWindow, it logs only their number. It is safe for concurrent use.
func (v *View) NoteChanges(changes []fleet.Change) {
	revision := v.config.Directory.Revision()
	omitted := map[fleet.ChangeKind]int{}
	for _, change := range changes {
		if change.Kind == fleet.Removed {
			v.config.Forget(change.Upstream.ID)
		}
		if v.changeLogLimit.allow(change.Kind, time.Now()) {
			v.logChange(change, revision)
		} else {
			omitted[change.Kind]++
		}
	}
	for kind, count := range omitted {
		v.config.Log.Info("upstreams changed, too many to name", zap.String("kind", string(kind)), zap.Int("count", count), zap.Int64("revision", kv.SequenceOf(revision)))
	}
}

const (
	// maxNamedChanges is how many changes of a kind get a log line of their own within namedChangesWindow. Without this
	// limit, each box would write a line for each upstream of a fleet whose upstreams join over some seconds.
	maxNamedChanges    = 50
	namedChangesWindow = time.Second
)

// logLimit limits the log lines for each kind of change. It is safe for concurrent use.
type logLimit struct {
	mu          sync.Mutex
	windowStart time.Time
	counts      map[fleet.ChangeKind]int
}

// allow counts a change of a kind, and reports whether it may have a log line of its own.
func (l *logLimit) allow(kind fleet.ChangeKind, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= namedChangesWindow {
		l.windowStart, l.counts = now, map[fleet.ChangeKind]int{}
	}
	l.counts[kind]++
	return l.counts[kind] <= maxNamedChanges
}

func (v *View) logChange(change fleet.Change, revision int64) {
	v.config.Log.Info("upstream "+string(change.Kind),
		zap.String("backend", change.Upstream.ID),
		zap.String("version", change.Upstream.SoftwareVersion),
		zap.String("service", change.Upstream.Service),
		zap.String("address", change.Upstream.Address),
		zap.Duration("notice", change.Upstream.EndsAfter),
		zap.Int64("revision", kv.SequenceOf(revision)))
}
