package box

import (
	"context"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

const (
	// demandReport is how often demand is passed on in a small hall.
	demandReport = 5 * time.Second
	// demandBoxes is the size of a hall up to which demand is passed on that often.
	demandBoxes = 16
	// demandAge is after how long a silent source no longer counts.
	demandAge = time.Minute
)

// demand is this box's own demand, and what others have passed on to it.
type demand struct {
	*placement.Meter

	mu sync.Mutex
	// boxes are the reports of the hall's boxes, halls those of the halls' controllers.
	boxes map[string]demandReportAt
	halls map[string]demandReportAt
}

type demandReportAt struct {
	models map[string]float64
	at     time.Time
}

func newDemand() *demand {
	return &demand{
		Meter: placement.NewMeter(),
		boxes: map[string]demandReportAt{},
		halls: map[string]demandReportAt{},
	}
}

// hear takes a report in.
func (d *demand) hear(report peer.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sources := d.boxes
	if report.Planner {
		sources = d.halls
	}
	sources[report.From] = demandReportAt{models: report.Models, at: time.Now()}
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

// sumDemand adds up the reports and forgets those that are too old.
func sumDemand(sources map[string]demandReportAt) map[string]float64 {
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

// measureDemand samples demand and passes it on: to the hall's controller, and from there to the planner.
func (b *Box) measureDemand(ctx context.Context) {
	last := time.Now()
	for pause(ctx, placement.MeterInterval) {
		b.demand.Sample()
		every := demandReport * time.Duration(max(1, len(b.members.inHall())/demandBoxes))
		if time.Since(last) < every {
			continue
		}
		last = time.Now()
		b.passDemand(ctx)
	}
}

func (b *Box) passDemand(ctx context.Context) {
	report := peer.Demand{From: b.config.ID, Models: b.demand.Demand()}
	holdings := readRecord[orders.Holdings](b.reader, holdingsPrefix+b.config.Hall)
	b.sendDemand(ctx, holdings.Controller, report)
	if _, err := b.control.hall.Term(); err != nil {
		return
	}
	sum := peer.Demand{From: b.config.Hall, Models: b.demand.hall(), Planner: true}
	b.sendDemand(ctx, b.fleet.snapshot.Load().plan.Planner, sum)
}

// sendDemand passes a report to the box at a peer address, which may be this one.
func (b *Box) sendDemand(ctx context.Context, address string, report peer.Demand) {
	switch address {
	case "":
		return
	case b.config.PeerAddress:
		b.demand.hear(report)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTime)
	defer cancel()
	if _, err := peer.Call[peer.Empty](ctx, b.peers, address, peer.MethodDemand, report); err != nil {
		b.set.GetOrCreateCounter("ospreymoor_demand_failures_total").Inc()
	}
}
