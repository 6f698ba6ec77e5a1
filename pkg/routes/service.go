package routes

import "time"

// Service is a set of upstreams that are alike.
type Service struct {
	Name string
	// ColdStart is for how long an upstream is cold after a start, and ColdPerSecond how many requests a second it then bears, over all
	// boxes together; 0 sets no bound.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engines is nil for a plain service.
	Engines *Engines

	// models is an index of Engines.Models by name.
	models map[string]*Model
}

// Model returns the description of a model; nil if the service has none of that name.
func (s *Service) Model(name string) *Model { return s.models[name] }

// index makes the index of models; a plain service has none.
func (s *Service) index() {
	if s.Engines == nil {
		return
	}
	s.models = make(map[string]*Model, len(s.Engines.Models))
	for i := range s.Engines.Models {
		model := &s.Engines.Models[i]
		s.models[model.Name] = model
	}
}

// Engines describes the engines of a service.
type Engines struct {
	// Slots is how many requests an engine works on at once.
	Slots int
	// CacheTokens is an engine's memory for prompts and answers, in tokens.
	CacheTokens int
	// MemoryMegabytes is an engine's memory for weights and adapters together.
	MemoryMegabytes float64
	// AdapterSlots is how many adapters an engine holds at once.
	AdapterSlots int
	// EventTokens is how many tokens one event of a stream holds; 0 counts as 1.
	EventTokens int
	// LoadsPerSecond is how many loads the weight store allows all engines together.
	LoadsPerSecond float64
	// Models are in the order of the configuration.
	Models []Model
}

// Model is a model that the engines of a service can hold.
type Model struct {
	Name string
	// Megabytes of an engine's memory that the weights take.
	Megabytes float64
	// LoadTime is how long a load from the weight store takes.
	LoadTime time.Duration
	// DiskLoadTime is how long a load from the engine's disk takes.
	DiskLoadTime time.Duration
	// MemoryLoadTime is how long a load from the engine's copy in memory takes.
	MemoryLoadTime time.Duration
	// Adapters are the names of its adapters.
	Adapters []string
	// AdapterMegabytes is the memory of one adapter.
	AdapterMegabytes float64
}
