package storeview

import (
	"maps"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// maxHallName is the longest name of an evacuated hall, in bytes. A key with a longer name is ignored, because
// another program must have written it.
const maxHallName = 100

// lostEvacuationGrace is how long a hall stays evacuated whose key the store lost when it came back from a copy. The
// operator writes the key again.
const lostEvacuationGrace = 5 * time.Second

// evacuationSet holds the evacuated halls. It is safe for concurrent use.
type evacuationSet struct {
	mu    sync.Mutex
	halls map[string]bool
	// lost holds until when halls stay evacuated whose keys the store lost.
	lost map[string]time.Time
	// revision is that of the state that was applied last.
	revision int64
}

// applyEvacuations updates the set of evacuated halls and returns what changed. Only the key of a record counts, not
// its value, so that an unreadable record still evacuates the hall as its writer asked. restored means that the store
// came back from a copy since the previous state.
func (v *View) applyEvacuations(state mirror.State, changed []string, restored bool) fleet.Evacuations {
	if len(changed) == 0 {
		return fleet.Evacuations{}
	}
	set := &v.evacuations
	set.mu.Lock()
	defer set.mu.Unlock()
	for _, key := range changed {
		hall := strings.TrimPrefix(key, v.config.Platform.EvacuationPrefix)
		if hall == "" || len(hall) > maxHallName {
			continue
		}
		_, found := state.Records.Get(key)
		switch {
		case found:
			set.halls[hall] = true
			delete(set.lost, hall)
		case restored && set.halls[hall]:
			set.lost[hall] = time.Now().Add(lostEvacuationGrace)
		default:
			delete(set.halls, hall)
			delete(set.lost, hall)
		}
	}
	set.revision = state.Revision
	return v.setEvacuated()
}

// EndLostEvacuations ends the evacuations whose keys the store lost and nobody wrote again. The caller must call it
// regularly.
func (v *View) EndLostEvacuations() {
	set := &v.evacuations
	set.mu.Lock()
	ended := false
	for hall, until := range set.lost {
		if !time.Now().Before(until) {
			delete(set.lost, hall)
			delete(set.halls, hall)
			ended = true
		}
	}
	var change fleet.Evacuations
	if ended {
		change = v.setEvacuated()
	}
	revision := set.revision
	set.mu.Unlock()
	v.logEvacuations(&change, revision, "lost by the store")
}

// setEvacuated passes the set on. The caller holds the set's lock.
func (v *View) setEvacuated() fleet.Evacuations {
	set := &v.evacuations
	v.evacuatedHalls.Store(int64(len(set.halls)))
	return v.config.Directory.SetEvacuated(set.revision, maps.Clone(set.halls))
}

// logEvacuations logs evacuations that began or ended, with the number of upstreams left, so that an operator sees
// why requests are refused.
func (v *View) logEvacuations(change *fleet.Evacuations, revision int64, origin string) {
	if !change.Any() {
		return
	}
	evacuated, left := v.config.Directory.CountEvacuated()
	log := v.config.Log.With(
		zap.Int("upstreamsInEvacuatedHalls", evacuated),
		zap.Int("upstreamsLeft", left),
		zap.Int64("revision", kv.SequenceOf(revision)),
		zap.String("origin", origin))
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
