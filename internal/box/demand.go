package box

import (
	"context"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// demandAge is after how long the report of a silent source no longer counts.
const demandAge = time.Minute

// demand owns this box's own demand, and what others have reported to it.
type demand struct {
	*placement.Meter

	mu sync.Mutex
	// boxes are the reports of the hall's boxes, halls those of the halls' controllers.
	boxes map[string]demandReport
	halls map[string]demandReport
}

// demandReport is one source's demand by model, with the time at which it came.
type demandReport struct {
	models map[string]float64
	at     time.Time
}

func newDemand() *demand {
	return &demand{
		Meter: placement.NewMeter(),
		boxes: map[string]demandReport{},
		halls: map[string]demandReport{},
	}
}

// take takes a report in.
func (d *demand) take(report peer.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sources := d.boxes
	if report.Planner {
		sources = d.halls
	}
	sources[report.From] = demandReport{models: report.Models, at: time.Now()}
}

// answer takes another box's report in.
func (d *demand) answer(_ context.Context, report peer.Demand) (peer.Empty, error) {
	d.take(report)
	return peer.Empty{}, nil
}

// hall is the sum over the hall's boxes.
func (d *demand) hall() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sumDemand(d.boxes)
}

// total is the sum over all halls.
func (d *demand) total() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sumDemand(d.halls)
}

// sumDemand adds up the reports and drops those older than demandAge.
func sumDemand(sources map[string]demandReport) map[string]float64 {
	sum := map[string]float64{}
	for from, report := range sources {
		if time.Since(report.at) > demandAge {
			delete(sources, from)
			continue
		}
		for model, mean := range report.models {
			sum[model] += mean
		}
	}
	return sum
}
