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

// takeOwn takes what boxes wrote themselves: their registrations, the order lease and the requests that are held.
func (v *View) takeOwn(state mirror.State, changed []string) {
	if len(changed) == 0 {
		return
	}
	if v.takeBoxes(state, changed) {
		v.config.Members.SetRegistered(v.boxes())
	}
	v.takeHeld(state, changed)
	v.config.OrderLease.Observe(state)
}

// registeredBox is a box as a revision of its record has it.
type registeredBox struct {
	cluster.Box
	// unusable means that the record names no box.
	unusable bool
}

// takeBoxes takes the registrations that changed, and returns whether any did.
func (v *View) takeBoxes(state mirror.State, changed []string) (any bool) {
	prefix := v.config.Platform.OwnPrefix + boxPart
	for _, key := range changed {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		any = true
		if record, held := state.Records.Get(key); held {
			v.boxByKey[key] = v.decodeBox(record, v.boxByKey[key].unusable)
		} else {
			delete(v.boxByKey, key)
		}
	}
	return any
}

// boxes returns the registered boxes.
func (v *View) boxes() []cluster.Box {
	list := make([]cluster.Box, 0, len(v.boxByKey))
	for _, box := range v.boxByKey {
		if !box.unusable {
			list = append(list, box.Box)
		}
	}
	return list
}

// errNoBox is the error of a record that can be read and names no box.
const errNoBox = errors.ConstError("no name: another writer's")

// decodeBox decodes a record. One that names no box is logged once until it names one, as it was not before.
func (v *View) decodeBox(record kv.Record, was bool) registeredBox {
	box := registeredBox{}
	err := json.Unmarshal(record.Value, &box.Box)
	if err == nil && box.Name == "" {
		err = errNoBox
	}
	if err == nil {
		return box
	}
	if !was {
		v.config.Log.Warn("box record unreadable", zap.String("key", record.Key), logfield.Error(err))
	}
	return registeredBox{unusable: true}
}
