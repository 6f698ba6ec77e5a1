package fleet

// Residency holds what the order holder publishes about one engine: what its orders changed and the list
// does not show yet. A later residency of the engine replaces it completely.
type Residency struct {
	// Adapters are the loaded adapters, by model. They override those of the list, which lags behind
	// the orders.
	Adapters map[string][]string `json:"adapters,omitempty"`
	// Withdrawn models are about to be unloaded. They get no new requests, so that the running ones end
	// before the order is sent.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Loaded models are those whose load has ended and that the list may not show yet: they get
	// requests without waiting for the engine's next entry.
	Loaded []string `json:"loaded,omitempty"`
	// Dropped models are those whose unload has ended and that the list may still show: the engine
	// would only reject requests for them.
	Dropped []string `json:"dropped,omitempty"`
	// Sequence numbers the updates of all engines under one term, from 1.
	Sequence int64 `json:"sequence"`
	// Busy is true while the engine carries out an order on a model. Engines take one such order at a
	// time, and dispatch prefers other engines meanwhile.
	Busy bool `json:"busy,omitempty"`
}

// Bytes returns the approximate length of the residency as JSON.
func (r Residency) Bytes() int {
	// overhead is that of the engine's id and of the fields' names.
	const overhead = 90
	bytes := overhead
	for model, adapters := range r.Adapters {
		bytes += namesBytes(adapters) + len(model)
	}
	return bytes + namesBytes(r.Withdrawn) + namesBytes(r.Loaded) + namesBytes(r.Dropped)
}

// namesBytes returns the approximate length of a list of names as JSON.
func namesBytes(names []string) int {
	bytes := 0
	for _, name := range names {
		bytes += len(name) + len(`"",`)
	}
	return bytes
}

// termResidency is the latest residency of an engine, with the term of the order lease under which it
// was published.
type termResidency struct {
	Residency
	term int64
}

// Version orders residency updates: by the term of the order lease, then by sequence.
type Version struct {
	// Term is the term of the order lease.
	Term int64 `json:"term,omitempty"`
	// Sequence is the number up to which all updates under the term are known.
	Sequence int64 `json:"sequence,omitempty"`
}

// Before reports whether v is older than other.
func (v Version) Before(other Version) bool {
	return v.Term < other.Term || (v.Term == other.Term && v.Sequence < other.Sequence)
}

// Update holds the residencies that were published since some version, up to Version.
type Update struct {
	Version Version              `json:"stamp"`
	Engines map[string]Residency `json:"engines,omitempty"`
}
