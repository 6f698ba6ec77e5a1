package storeview

import (
	"strings"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// takeUpstreams takes a list of upstreams; only records that changed are decoded.
func (v *View) takeUpstreams(state mirror.State) {
	next := make(map[string]fleet.Upstream, len(v.upstreams))
	list := make([]fleet.Upstream, 0, len(v.upstreams))
	for key, record := range state.Records {
		if !strings.HasPrefix(key, v.config.Platform.UpstreamPrefix) {
			continue
		}
		upstream, ok := v.upstreams[key]
		if !ok || upstream.Revision != record.Revision {
			upstream, ok = v.decodeUpstream(record)
		}
		if ok {
			next[key] = upstream
			list = append(list, upstream)
		}
	}
	v.upstreams = next
	v.NoteChanges(v.config.Directory.SetList(state.Revision, list, state.PreviousCurrentAt))
}

func (v *View) decodeUpstream(record kv.Record) (fleet.Upstream, bool) {
	upstream, err := v.config.Platform.DecodeUpstream(record)
	if err != nil {
		v.config.Log.Warn("upstream entry unreadable", zap.String("key", record.Key), logfield.Error(err))
	}
	return upstream, err == nil
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
