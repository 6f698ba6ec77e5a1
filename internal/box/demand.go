package box

import (
	"context"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// demandReportTTL is how long a report counts if its source sends no newer one.
const demandReportTTL = time.Minute

// demand owns this box's own demand and the demand that others have reported to it.
type demand struct {
	*placement.Meter

	mu sync.Mutex
	// boxReports holds the reports of the hall's boxes, hallReports those of the halls' controllers.
	boxReports  map[string]demandReport
	hallReports map[string]demandReport
}

// demandReport is the demand of one source by model, with the time at which it was received.
type demandReport struct {
	models map[string]float64
	at     time.Time
}

func newDemand() *demand {
	return &demand{
		Meter:       placement.NewMeter(),
		boxReports:  map[string]demandReport{},
		hallReports: map[string]demandReport{},
	}
}

// addReport stores a report.
func (d *demand) addReport(report peer.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sources := d.boxReports
	if report.Planner {
		sources = d.hallReports
	}
	sources[report.From] = demandReport{models: report.Models, at: time.Now()}
}

// handleDemand stores the report of another box.
func (d *demand) handleDemand(_ context.Context, report peer.Demand) (peer.Empty, error) {
	d.addReport(report)
	return peer.Empty{}, nil
}

// hallDemand returns the demand of the hall by model: the sum over its boxes.
func (d *demand) hallDemand() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sumDemand(d.boxReports)
}

// fleetDemand returns the demand of the fleet by model: the sum over all halls.
func (d *demand) fleetDemand() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sumDemand(d.hallReports)
}

// sumDemand adds up the reports and drops those older than demandReportTTL.
func sumDemand(sources map[string]demandReport) map[string]float64 {
	sum := map[string]float64{}
	for from, report := range sources {
		if time.Since(report.at) > demandReportTTL {
			delete(sources, from)
			continue
		}
		for model, mean := range report.models {
			sum[model] += mean
		}
	}
	return sum
}
