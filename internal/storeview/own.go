package storeview

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// applyOwnRecords applies changed records that boxes wrote themselves: registrations, the order lease and requests
// held by quarantine. live means that the changes are new, not those of a first copy or of a store that came back from
// one.
func (v *View) applyOwnRecords(state mirror.State, changed []string, live bool) {
	if len(changed) == 0 {
		return
	}
	if v.applyRegistrations(state, changed) {
		v.config.Members.SetRegistered(v.boxes())
	}
	v.applyHeldRequests(state, changed, live)
	v.config.OrderLease.Observe(state)
}

// registeredBox is the decoded record of a box's registration.
type registeredBox struct {
	cluster.Box
	// unusable means that the record cannot be decoded or has no box name.
	unusable bool
}

// applyRegistrations applies the registrations that changed, and reports whether there were any.
func (v *View) applyRegistrations(state mirror.State, changed []string) (applied bool) {
	prefix := v.config.Platform.OwnPrefix + registrationKeySegment
	for _, key := range changed {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		applied = true
		if record, found := state.Records.Get(key); found {
			v.boxByKey[key] = v.decodeBox(record, v.boxByKey[key].unusable)
		} else {
			delete(v.boxByKey, key)
		}
	}
	return applied
}

// boxes returns the registered boxes, without unusable records.
func (v *View) boxes() []cluster.Box {
	list := make([]cluster.Box, 0, len(v.boxByKey))
	for _, box := range v.boxByKey {
		if !box.unusable {
			list = append(list, box.Box)
		}
	}
	return list
}

// errUnnamedBox is the error of a record that can be decoded but has no box name.
const errUnnamedBox = errors.ConstError("no name: another writer's")

// decodeBox decodes a registration. An unusable record is logged unless wasUnusable says that its previous revision
// was unusable too.
func (v *View) decodeBox(record kv.Record, wasUnusable bool) registeredBox {
	box := registeredBox{}
	err := json.Unmarshal(record.Value, &box.Box)
	if err == nil && box.Name == "" {
		err = errUnnamedBox
	}
	if err == nil {
		return box
	}
	if !wasUnusable {
		v.config.Log.Warn("box record unreadable", zap.String("key", record.Key), logfield.Error(err))
	}
	return registeredBox{unusable: true}
}
