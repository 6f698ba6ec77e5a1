package gateway

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/residency"
)

// noteTurnedAway reports the demand of a request that no engine takes: no engine holds its model, or
// those that do are full. It counts once for each request; uncached is the number of prompt tokens that
// an engine would have to read. From the demand the order holder plans which models to load.
func (r *inflight) noteTurnedAway(uncached int) {
	if r.demandNoted {
		return
	}
	r.demandNoted = true
	r.noteDemand(uncached)
}

// noteDemand reports the engine time that the request will probably take, in milliseconds; uncached
// is the number of prompt tokens that the engine has to read.
func (r *inflight) noteDemand(uncached int) {
	if r.need.Model == "" || r.gateway.NoteDemand == nil {
		return
	}
	work := r.gateway.Loads.Work(r.need, uncached)
	key := residency.WorkKey{ModelKey: residency.ModelKey{Service: r.service, Model: r.need.Model}, Patient: r.patient()}
	r.gateway.NoteDemand(map[residency.WorkKey]float64{key: float64(work) / float64(time.Millisecond)})
}

// patient reports whether the request's target leaves time for a load of its model from an engine's own
// copy.
func (r *inflight) patient() bool {
	model := r.model
	if model == nil || model.DiskLoadTime == 0 {
		return false
	}
	return r.deadlines.load.Sub(r.request.Arrived) >= residency.FirstReplicaTime(model.DiskLoadTime)
}
