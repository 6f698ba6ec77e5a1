package box

import (
	"context"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/orders"
)

const (
	// demandSample is how often requests in flight are counted.
	demandSample = time.Second
	// demandReport is how often demand is passed on in a small fleet.
	demandReport = 5 * time.Second
	// demandBoxes is the size of a hall up to which demand is passed on that often.
	demandBoxes = 16
	// demandAge is after how long a silent source no longer counts.
	demandAge = time.Minute
	// riseWeight and fallWeight are the weights of a new sample: demand is believed
	// quickly when it rises and slowly when it falls, so that a lull moves nothing.
	riseWeight = 0.5
	fallWeight = 0.05
	// leastDemand is what is too little to report.
	leastDemand = 0.005
)

// demand measures how many requests for each model run or would run at once.
type demand struct {
	mu sync.Mutex
	// inFlight counts the requests under way, and missed those refused since the last sample.
	inFlight map[string]int
	missed   map[string]float64
	smooth   map[string]float64
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
		inFlight: map[string]int{},
		missed:   map[string]float64{},
		smooth:   map[string]float64{},
		boxes:    map[string]demandReportAt{},
		halls:    map[string]demandReportAt{},
	}
}

// begin notes a request under way, and returns the function to call at its end.
func (d *demand) begin(model string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[model]++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.inFlight[model]--
	}
}

// miss notes a refused request that would have run for a time.
func (d *demand) miss(model string, service time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.missed[model] += float64(service) / float64(demandSample)
}

// sample takes the present counts into the running means.
func (d *demand) sample() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for model := range d.inFlight {
		d.smooth[model] += 0
	}
	for model := range d.missed {
		d.smooth[model] += 0
	}
	for model, mean := range d.smooth {
		now := float64(d.inFlight[model]) + d.missed[model]
		weight := fallWeight
		if now > mean {
			weight = riseWeight
		}
		d.smooth[model] = mean + weight*(now-mean)
		if d.smooth[model] < leastDemand && d.inFlight[model] == 0 {
			delete(d.smooth, model)
			delete(d.inFlight, model)
		}
	}
	clear(d.missed)
}

// own is this box's demand.
func (d *demand) own() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	models := map[string]float64{}
	for model, mean := range d.smooth {
		if mean >= leastDemand {
			models[model] = mean
		}
	}
	return models
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
	return d.sum(func() map[string]demandReportAt { return d.boxes })
}

// total is the sum over all halls.
func (d *demand) total() map[string]float64 {
	return d.sum(func() map[string]demandReportAt { return d.halls })
}

func (d *demand) sum(of func() map[string]demandReportAt) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sources := of()
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
	for pause(ctx, demandSample) {
		b.demand.sample()
		every := demandReport * time.Duration(max(1, len(b.hallBoxes())/demandBoxes))
		if time.Since(last) < every {
			continue
		}
		last = time.Now()
		b.passDemand(ctx)
	}
}

func (b *Box) passDemand(ctx context.Context) {
	report := peer.Demand{From: b.config.ID, Models: b.demand.own()}
	holdings := decodeRecord[orders.Holdings](b.cache, holdingsPrefix+b.config.Hall)
	b.sendDemand(ctx, holdings.Controller, report)
	if _, err := b.control.hall.Term(); err != nil {
		return
	}
	sum := peer.Demand{From: b.config.Hall, Models: b.demand.hall(), Planner: true}
	b.sendDemand(ctx, b.fleet.Load().plan.Planner, sum)
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
