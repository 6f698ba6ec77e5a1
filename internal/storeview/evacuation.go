package storeview

import (
	"strings"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// maxHallName bounds the name of an evacuated hall, in bytes; a longer one is another writer's.
const maxHallName = 100

// takeEvacuations takes which halls are evacuated. A record counts by its key alone, whatever its value, so that one that can't be read
// does no less than what its writer asked for.
func (v *View) takeEvacuations(state mirror.State, changed []string) fleet.Evacuations {
	if len(changed) == 0 {
		return fleet.Evacuations{}
	}
	for _, key := range changed {
		hall := strings.TrimPrefix(key, v.config.Platform.EvacuationPrefix)
		if hall == "" || len(hall) > maxHallName {
			continue
		}
		if _, held := state.Records.Get(key); held {
			v.evacuated[hall] = true
		} else {
			delete(v.evacuated, hall)
		}
	}
	v.evacuatedHalls.Store(int64(len(v.evacuated)))
	return v.config.Directory.SetEvacuated(state.Revision, v.evacuated)
}

// logEvacuations logs what began and ended, with what is left, so that an operator sees why requests are refused.
func (v *View) logEvacuations(change *fleet.Evacuations, state mirror.State) {
	if !change.Any() {
		return
	}
	evacuated, left := v.config.Directory.CountEvacuated()
	log := v.config.Log.With(
		zap.Int("upstreamsInEvacuatedHalls", evacuated),
		zap.Int("upstreamsLeft", left),
		zap.Int64("revision", state.Revision),
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
