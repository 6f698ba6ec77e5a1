package storeview

import (
	"encoding/json"
	"strings"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// takeOwn takes what boxes wrote themselves: their registrations and the order lease.
func (v *View) takeOwn(state mirror.State) {
	own := fingerprintOf(state, v.config.Platform.OwnPrefix)
	if own == v.own {
		return
	}
	v.own = own
	v.config.Members.SetRegistered(v.boxes(state))
	v.config.OrderLease.Observe(state)
}

// boxes decodes the registrations of the boxes.
func (v *View) boxes(state mirror.State) []cluster.Box {
	var list []cluster.Box
	for key, record := range state.Records {
		if !strings.HasPrefix(key, v.config.Platform.OwnPrefix+boxPart) {
			continue
		}
		var box cluster.Box
		if err := json.Unmarshal(record.Value, &box); err != nil {
			v.config.Log.Warn("box record unreadable", zap.String("key", key), logfield.Error(err))
			continue
		}
		list = append(list, box)
	}
	return list
}
