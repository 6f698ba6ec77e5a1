package placement

import (
	"sync"
	"time"
)

const (
	// MeterInterval is how often Sample should be called.
	MeterInterval = time.Second
	// sampleWeight is that of a new sample in the running mean. A mean that rises faster
	// than it falls reads noise as bursts, and models then move for nothing.
	sampleWeight = 0.05
	// leastDemand is what is too little to report.
	leastDemand = 0.005
)

// Meter measures how many requests for each model run, or would run if they had not been
// refused, at once. It is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// inFlight counts the requests under way, and missed those refused since the last sample.
	inFlight map[string]int
	missed   map[string]float64
	smooth   map[string]float64
}

// NewMeter returns a meter that has measured nothing.
func NewMeter() *Meter {
	return &Meter{inFlight: map[string]int{}, missed: map[string]float64{}, smooth: map[string]float64{}}
}

// Begin notes a request under way, and returns the function to call at its end.
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

// Miss notes a refused request that would have run for a time.
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
		m.take(model)
	}
	for model := range m.missed {
		if _, taken := m.inFlight[model]; !taken {
			m.take(model)
		}
	}
	for model := range m.smooth {
		_, flying := m.inFlight[model]
		if _, missed := m.missed[model]; !flying && !missed {
			m.take(model)
		}
	}
	clear(m.missed)
}

// take moves one model's mean towards its present count.
func (m *Meter) take(model string) {
	now, mean := float64(m.inFlight[model])+m.missed[model], m.smooth[model]
	m.smooth[model] = mean + sampleWeight*(now-mean)
	if m.smooth[model] < leastDemand && m.inFlight[model] == 0 {
		delete(m.smooth, model)
		delete(m.inFlight, model)
	}
}

// Demand returns the running mean of each model.
func (m *Meter) Demand() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := map[string]float64{}
	for model, mean := range m.smooth {
		if mean >= leastDemand {
			demand[model] = mean
		}
	}
	return demand
}
