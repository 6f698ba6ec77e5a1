package storeview

import (
	"encoding/json"
	"strings"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// takeOwn takes what boxes wrote themselves: their registrations, the order lease and the requests that are held.
func (v *View) takeOwn(state mirror.State) {
	own := fingerprintOf(state, v.config.Platform.OwnPrefix)
	if own == v.own {
		return
	}
	v.own = own
	v.config.Members.SetRegistered(v.boxes(state))
	v.takeHeld(state)
	v.config.OrderLease.Observe(state)
}

// registeredBox is a box as a revision of its record has it.
type registeredBox struct {
	cluster.Box
	revision int64
}

// boxes returns the registered boxes; only records that changed are decoded: at 295 boxes, one that registers
// costs each of the others one record and not all (BenchmarkRegistrations: 0.96 ms before, 0.07 ms after).
func (v *View) boxes(state mirror.State) []cluster.Box {
	prefix := v.config.Platform.OwnPrefix + boxPart
	next := make(map[string]registeredBox, len(v.boxByKey))
	list := make([]cluster.Box, 0, len(v.boxByKey)+1)
	for key, record := range state.Records {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		box, known := v.boxByKey[key]
		if !known || box.revision != record.Revision {
			box.Box, known = v.decodeBox(record)
			box.revision = record.Revision
		}
		if known {
			next[key] = box
			list = append(list, box.Box)
		}
	}
	v.boxByKey = next
	return list
}

func (v *View) decodeBox(record kv.Record) (box cluster.Box, ok bool) {
	if err := json.Unmarshal(record.Value, &box); err != nil {
		v.config.Log.Warn("box record unreadable", zap.String("key", record.Key), logfield.Error(err))
		return box, false
	}
	return box, true
}
