package fleet

// Residency is what the order holder publishes of one engine: what its orders changed that the list
// does not show yet. A later residency of the engine replaces it whole.
type Residency struct {
	// Adapters that are loaded, by model. They replace the list's, which lags behind the
	// orders.
	Adapters map[string][]string `json:"adapters,omitempty"`
	// Withdrawn models are about to be unloaded. They get nothing new, so that their running requests
	// end before the order is sent.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Loaded models are those whose load ended and that the list may not have yet: they get requests
	// without waiting for the engine's next entry.
	Loaded []string `json:"loaded,omitempty"`
	// Dropped models are those whose unload ended and that the list may still have: requests for them
	// would only be turned away.
	Dropped []string `json:"dropped,omitempty"`
	// Sequence numbers the updates of all engines under one term, from 1.
	Sequence int64 `json:"sequence"`
	// Busy is true while the engine carries out an order on a model. Engines take one such order at a
	// time, and dispatch prefers others meanwhile.
	Busy bool `json:"busy,omitempty"`
}

// Bytes is about how long the residency is as JSON.
func (r Residency) Bytes() int {
	// overhead is that of the engine's id and of the fields' names.
	const overhead = 90
	bytes := overhead
	for model, adapters := range r.Adapters {
		bytes += namesBytes(adapters) + len(model)
	}
	return bytes + namesBytes(r.Withdrawn) + namesBytes(r.Loaded) + namesBytes(r.Dropped)
}

// namesBytes is about how long a list of names is as JSON.
func namesBytes(names []string) int {
	bytes := 0
	for _, name := range names {
		bytes += len(name) + len(`"",`)
	}
	return bytes
}

// residency is the latest residency of an engine, with the term of the order lease under which it
// was published.
type residency struct {
	Residency
	term int64
}

// Version orders residency updates: by the term of the order lease, then by sequence.
type Version struct {
	// Term of the order lease.
	Term int64 `json:"term,omitempty"`
	// Sequence up to which all updates under the term are known.
	Sequence int64 `json:"sequence,omitempty"`
}

// Before reports whether v is older than other.
func (v Version) Before(other Version) bool {
	return v.Term < other.Term || (v.Term == other.Term && v.Sequence < other.Sequence)
}

// Update has the residencies that were published since some version, up to Version.
type Update struct {
	Version Version              `json:"stamp"`
	Engines map[string]Residency `json:"engines,omitempty"`
}
