package routes

import "time"

// Service is a set of equivalent upstreams.
type Service struct {
	Name string
	// ColdStart is how long an upstream is cold after a start. ColdPerSecond is how many requests a
	// second it can take then, from all boxes together; 0 sets no bound.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engines is nil for a plain service.
	Engines *Engines

	// models is an index of Engines.Models by name.
	models map[string]*Model
}

// Model returns the description of a model; nil if the service has none of that name.
func (s *Service) Model(name string) *Model { return s.models[name] }

// indexModels builds the index of models; a plain service has none.
func (s *Service) indexModels() {
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
	// Slots is how many requests an engine processes at once.
	Slots int
	// CacheTokens is the size of an engine's memory for prompts and answers, in tokens.
	CacheTokens int
	// MemoryMegabytes is the size of an engine's memory for weights and adapters together.
	MemoryMegabytes float64
	// AdapterSlots is how many adapters an engine holds at once.
	AdapterSlots int
	// EventTokens is how many tokens one event of a stream holds; 0 counts as 1.
	EventTokens int
	// LoadsPerSecond is how many loads a second the weight store allows to all engines together.
	LoadsPerSecond float64
	// Models are in the order of the configuration.
	Models []Model
}

// Model is a model that the engines of a service can hold.
type Model struct {
	Name string
	// Megabytes is how much of an engine's memory the weights take.
	Megabytes float64
	// LoadTime is how long a load from the weight store takes.
	LoadTime time.Duration
	// DiskLoadTime is how long a load from the engine's disk takes.
	DiskLoadTime time.Duration
	// MemoryLoadTime is how long a load from the engine's copy in memory takes.
	MemoryLoadTime time.Duration
	// Adapters are the names of its adapters.
	Adapters []string
	// AdapterMegabytes is how much of an engine's memory one adapter takes.
	AdapterMegabytes float64
}
