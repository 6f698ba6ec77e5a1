package fleet

import "time"

// Upstream describes one process of an engine or of a plain service, as its entry in the list states
// it. It does not change once listed.
type Upstream struct {
	// ID identifies one incarnation of the upstream; see IncarnationID.
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Hall    string
	// SoftwareVersion is the version of the upstream's software, not of the weights that it holds. Versions are only
	// compared for equality. It is empty if the entry states none.
	SoftwareVersion string
	// Slots is the number of requests that it processes at once.
	Slots int
	// Leaving means that the process is about to end; nothing new is sent to it.
	Leaving bool
	// EndsAfter is the time from the write of a leaving upstream's entry to the end of its process; 0 if
	// the entry states none.
	EndsAfter time.Duration
	// Cold is how long an engine stays cold after its entry was written; 0 if it is not cold.
	Cold time.Duration
	// Models are the models that the engine holds, with their adapters.
	Models []Holding
	// InMemory and OnDisk name the models of which the engine keeps a copy in memory or on disk.
	// Loading from a copy is faster than loading from the weight store, and does not count as a load
	// from the store.
	InMemory []string
	OnDisk   []string
	// Revision is the store revision at which the entry was written.
	Revision int64
}

// Holding is a model that an engine holds, with its loaded adapters.
type Holding struct {
	Model    string
	Adapters []string
}
