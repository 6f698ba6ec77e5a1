package gateway

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/residency"
)

// reportUnservedDemand reports the demand of a request that no engine takes: none holds its model, or those that do
// are full or throttled. The order holder plans from the demand which models to load. The request is counted once;
// uncached is the number of prompt tokens that an engine would have to prefill.
func (r *inflight) reportUnservedDemand(uncached int) {
	if r.unservedDemandReported {
		return
	}
	r.unservedDemandReported = true
	r.reportDemand(uncached)
}

// reportDemand reports the engine time that the request will probably take, in milliseconds. uncached is the
// number of prompt tokens that the engine has to prefill.
func (r *inflight) reportDemand(uncached int) {
	if r.need.Model == "" || r.gateway.RecordDemand == nil {
		return
	}
	work := r.gateway.Loads.EngineTime(r.need, uncached)
	key := residency.WorkKey{ModelKey: residency.ModelKey{Service: r.service, Model: r.need.Model}, Patient: r.patient()}
	r.gateway.RecordDemand(map[residency.WorkKey]float64{key: float64(work) / float64(time.Millisecond)})
}

// patient reports whether the request's target leaves enough time to load its model from an engine's local copy.
func (r *inflight) patient() bool {
	model := r.model
	if model == nil || model.DiskLoadTime == 0 {
		return false
	}
	return r.deadlines.load.Sub(r.request.Arrived) >= residency.FirstReplicaTime(model.DiskLoadTime)
}
