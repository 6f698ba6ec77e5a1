package residency

import "ospreymoor.example/ospreymoor/pkg/routes"

// fitsModel reports whether the engine has enough free memory for a model now.
func (e *engine) fitsModel(service *routes.Service, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedMegabytes(service)+service.Model(model).Megabytes <= service.Engines.MemoryMegabytes
}

// fitsAdapters reports whether all adapters that occupy a slot fit on the engine.
func (e *engine) fitsAdapters() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.adaptersFit()
}

// adaptersFit is fitsAdapters for callers that hold the lock.
func (e *engine) adaptersFit() bool {
	service := e.controller.engineService(e.service)
	if service == nil {
		return false
	}
	return len(e.adapters) <= service.Engines.AdapterSlots && e.usedMegabytes(service) <= service.Engines.MemoryMegabytes
}

// usedMegabytes returns the memory that models and adapters use. The caller holds the lock.
func (e *engine) usedMegabytes(service *routes.Service) float64 {
	return e.modelMegabytes() + e.adapterMegabytes(service)
}

// modelMegabytes returns the memory that the engine's models use. The caller holds the lock.
func (e *engine) modelMegabytes() float64 {
	state := e.controller.Directory.Get(e.id)
	if state == nil {
		return 0 // The engine is gone: no order reaches it.
	}
	used := 0.0
	for _, model := range e.models.held(state.Models) {
		if _, described := e.controller.model(e.service, model); described != nil {
			used += described.Megabytes
		}
	}
	return used
}

// adapterMegabytes returns the memory that the adapters use, in whatever phase. The caller holds the lock.
func (e *engine) adapterMegabytes(service *routes.Service) float64 {
	used := 0.0
	for key := range e.adapters {
		if model := service.Model(key.model); model != nil {
			used += model.AdapterMegabytes
		}
	}
	return used
}
