package gateway

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/residency"
)

// noteUnserved reports the demand of a request whose model no engine holds, once for each request:
// from the demand the order holder plans which models to load.
func (r *inflight) noteUnserved() {
	if r.demandNoted {
		return
	}
	r.demandNoted = true
	r.noteDemand(r.need.PromptTokens)
}

// noteDemand reports the engine time that the request will probably take, in milliseconds; uncached
// is the number of prompt tokens that the engine has to read.
func (r *inflight) noteDemand(uncached int) {
	if r.need.Model == "" || r.gateway.NoteDemand == nil {
		return
	}
	work := r.gateway.Loads.Work(r.need, uncached)
	key := residency.ModelKey{Service: r.service, Model: r.need.Model}
	r.gateway.NoteDemand(map[residency.ModelKey]float64{key: float64(work) / float64(time.Millisecond)})
}
