package placement

import (
	"sync"
	"time"
)

const (
	// MeterInterval is the interval at which Sample must be called.
	MeterInterval = time.Second
	// sampleWeight is the weight of a new sample in the running mean. It is the same for a rise and a fall:
	// a mean that rises faster than it falls takes noise for bursts.
	sampleWeight = 0.05
	// minDemand is the mean below which a model's demand is left out, in requests in flight.
	minDemand = 0.005
)

// Meter measures the demand for each model: the running mean of the requests in flight, including those that
// would be in flight if they had not been refused. It is safe for concurrent use. NewMeter creates one.
type Meter struct {
	mu sync.Mutex
	// inFlight counts the requests in flight, by model.
	inFlight map[string]int
	// missed is the service time of requests refused since the last sample, in intervals, by model.
	missed map[string]float64
	// means are the running means, by model.
	means map[string]float64
}

// NewMeter returns a meter without measurements.
func NewMeter() *Meter {
	return &Meter{inFlight: map[string]int{}, missed: map[string]float64{}, means: map[string]float64{}}
}

// Begin counts a request as in flight. The caller must call the returned function once when the request
// ends.
func (m *Meter) Begin(model string) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight[model]++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.inFlight[model]--
	}
}

// Miss counts a refused request that would have run for the service time.
func (m *Meter) Miss(model string, service time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missed[model] += float64(service) / float64(MeterInterval)
}

// Sample adds the present counts to the running means.
func (m *Meter) Sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for model := range m.inFlight {
		m.sample(model)
	}
	for model := range m.missed {
		if _, counted := m.inFlight[model]; !counted {
			m.sample(model)
		}
	}
	for model := range m.means {
		_, counted := m.inFlight[model]
		if _, missed := m.missed[model]; !counted && !missed {
			m.sample(model)
		}
	}
	clear(m.missed)
}

// sample moves one model's mean towards its present count.
func (m *Meter) sample(model string) {
	now, mean := float64(m.inFlight[model])+m.missed[model], m.means[model]
	m.means[model] = mean + sampleWeight*(now-mean)
	if m.means[model] < minDemand && m.inFlight[model] == 0 {
		delete(m.means, model)
		delete(m.inFlight, model)
	}
}

// Demand returns the running mean of each model, in requests in flight. Models below minDemand are left out.
func (m *Meter) Demand() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := map[string]float64{}
	for model, mean := range m.means {
		if mean >= minDemand {
			demand[model] = mean
		}
	}
	return demand
}
