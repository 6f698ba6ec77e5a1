package storeview

import (
	"strings"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// maxHallName is the longest name of an evacuated hall, in bytes. A key with a longer name is ignored, because
// another program must have written it.
const maxHallName = 100

// applyEvacuations updates the set of evacuated halls and returns what changed. Only the key of a record counts, not
// its value, so that an unreadable record still evacuates the hall as its writer asked.
func (v *View) applyEvacuations(state mirror.State, changed []string) fleet.Evacuations {
	if len(changed) == 0 {
		return fleet.Evacuations{}
	}
	for _, key := range changed {
		hall := strings.TrimPrefix(key, v.config.Platform.EvacuationPrefix)
		if hall == "" || len(hall) > maxHallName {
			continue
		}
		if _, found := state.Records.Get(key); found {
			v.evacuated[hall] = true
		} else {
			delete(v.evacuated, hall)
		}
	}
	v.evacuatedHalls.Store(int64(len(v.evacuated)))
	return v.config.Directory.SetEvacuated(state.Revision, v.evacuated)
}

// logEvacuations logs evacuations that began or ended, with the number of upstreams left, so that an operator sees
// why requests are refused.
func (v *View) logEvacuations(change *fleet.Evacuations, state mirror.State) {
	if !change.Any() {
		return
	}
	evacuated, left := v.config.Directory.CountEvacuated()
	log := v.config.Log.With(
		zap.Int("upstreamsInEvacuatedHalls", evacuated),
		zap.Int("upstreamsLeft", left),
		zap.Int64("revision", kv.SequenceOf(state.Revision)),
		zap.String("origin", string(state.Origin)))
	if len(change.Begun) > 0 {
		log.Info("halls evacuated: their upstreams get nothing new", zap.Strings("halls", change.Begun))
	}
	if len(change.Ended) > 0 {
		log.Info("evacuation of halls ended", zap.Strings("halls", change.Ended))
	}
	if left == 0 && evacuated > 0 {
		log.Warn("no upstream is left outside of evacuated halls: every request to one is refused until an evacuation ends")
	}
}
