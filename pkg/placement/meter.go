package placement

import (
	"sync"
	"time"
)

const (
	// MeterInterval is the interval at which Sample must be called.
	MeterInterval = time.Second
	// sampleWeight is the weight of a new sample in the running mean. It is the same upwards and downwards: a
	// mean that rises faster than it falls reads noise as bursts.
	sampleWeight = 0.05
	// leastDemand is the mean below which a model's demand is left out, in requests in flight.
	leastDemand = 0.005
)

// Meter measures the demand for each model: the running mean of the requests in flight, with
// those that would be if they had not been refused. It is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// inFlight counts the requests under way, by model.
	inFlight map[string]int
	// missed is the engine time of requests refused since the last sample, in intervals, by model.
	missed map[string]float64
	// means are the running means, by model.
	means map[string]float64
}

// NewMeter returns a meter that has measured nothing.
func NewMeter() *Meter {
	return &Meter{inFlight: map[string]int{}, missed: map[string]float64{}, means: map[string]float64{}}
}

// Begin counts a request under way, and returns the function to call once at its end.
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

// Sample takes the present counts into the running means.
func (m *Meter) Sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for model := range m.inFlight {
		m.sample(model)
	}
	for model := range m.missed {
		if _, taken := m.inFlight[model]; !taken {
			m.sample(model)
		}
	}
	for model := range m.means {
		_, flying := m.inFlight[model]
		if _, missed := m.missed[model]; !flying && !missed {
			m.sample(model)
		}
	}
	clear(m.missed)
}

// sample moves one model's mean towards its present count.
func (m *Meter) sample(model string) {
	now, mean := float64(m.inFlight[model])+m.missed[model], m.means[model]
	m.means[model] = mean + sampleWeight*(now-mean)
	if m.means[model] < leastDemand && m.inFlight[model] == 0 {
		delete(m.means, model)
		delete(m.inFlight, model)
	}
}

// Demand returns the running mean of each model, in requests in flight.
func (m *Meter) Demand() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := map[string]float64{}
	for model, mean := range m.means {
		if mean >= leastDemand {
			demand[model] = mean
		}
	}
	return demand
}
