package storeview

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// takeUpstreams takes the changes of the list of upstreams. Entries that name no upstream to use are left out, whatever the upstream was
// before.
func (v *View) takeUpstreams(state mirror.State, changed []string) {
	change := fleet.ListChange{PreviousCurrentAt: state.PreviousCurrentAt}
	for _, key := range changed {
		old, was := v.upstreams[key]
		upstream, usable := v.decodeEntry(key, state)
		if was && (!usable || old != upstream.ID) {
			change.Dropped = append(change.Dropped, old)
			delete(v.upstreams, key)
		}
		if usable {
			change.Put = append(change.Put, upstream)
			v.upstreams[key] = upstream.ID
		}
	}
	v.NoteChanges(v.config.Directory.ChangeList(state.Revision, change))
}

// decodeEntry decodes the record of a key, and reports whether it names an upstream to use. One that does not is logged once for each
// reason: its writer may write it again each second.
func (v *View) decodeEntry(key string, state mirror.State) (upstream fleet.Upstream, usable bool) {
	was := v.unusable[key]
	delete(v.unusable, key)
	record, held := state.Records.Get(key)
	if !held {
		return fleet.Upstream{}, false
	}
	upstream, err := v.config.Platform.DecodeUpstream(record)
	if err == nil {
		return upstream, true
	}
	reason := fleet.EntryReason(err)
	v.unusable[key] = reason
	if v.config.Metrics != nil {
		v.config.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_upstream_entries_unusable_total{reason=%q}", reason)).Inc()
	}
	if reason != was {
		v.config.Log.Warn("upstream entry unreadable",
			zap.String("key", record.Key), zap.String("reason", reason), zap.Int64("revision", record.Revision), logfield.Error(err))
	}
	return fleet.Upstream{}, false
}

// NoteChanges logs upstreams that joined, went or began to leave, and has those that went forgotten.
// It is safe for concurrent use.
func (v *View) NoteChanges(changes []fleet.Change) {
	revision := v.config.Directory.Revision()
	unnamed := map[fleet.ChangeKind]int{}
	for _, change := range changes {
		if change.Kind == fleet.Removed {
			v.config.Forget(change.Upstream.ID)
		}
		if v.changeLines.take(change.Kind, time.Now()) {
			v.logChange(change, revision)
		} else {
			unnamed[change.Kind]++
		}
	}
	for kind, count := range unnamed {
		v.config.Log.Info("upstreams changed, too many to name", zap.String("kind", string(kind)), zap.Int("count", count), zap.Int64("revision", revision))
	}
}

const (
	// maxChangeLines is how many changes of a kind are named in changeLinesTime. A fleet whose upstreams join over some seconds would
	// otherwise have each box write a line for each of them.
	maxChangeLines  = 50
	changeLinesTime = time.Second
)

// lineBudget bounds the lines for changes of each kind. It is safe for concurrent use.
type lineBudget struct {
	mu    sync.Mutex
	began time.Time
	taken map[fleet.ChangeKind]int
}

// take reports whether there may be another line for a change of a kind.
func (b *lineBudget) take(kind fleet.ChangeKind, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.began) >= changeLinesTime {
		b.began, b.taken = now, map[fleet.ChangeKind]int{}
	}
	b.taken[kind]++
	return b.taken[kind] <= maxChangeLines
}

func (v *View) logChange(change fleet.Change, revision int64) {
	v.config.Log.Info("upstream "+string(change.Kind),
		zap.String("backend", change.Upstream.ID),
		zap.String("service", change.Upstream.Service),
		zap.String("address", change.Upstream.Address),
		zap.Duration("notice", change.Upstream.Notice),
		zap.Int64("revision", revision))
}
