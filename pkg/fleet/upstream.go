package fleet

import "time"

// Upstream is an engine or plain service as its entry in the list describes it. It does not change
// once listed.
type Upstream struct {
	// ID names one life of the upstream; see IncarnationID.
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Hall    string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving upstreams get nothing new.
	Leaving bool
	// Notice is how long after its entry was written a leaving upstream ends; 0 if it gave none.
	Notice time.Duration
	// Cold is for how long an engine is cold from when its entry was written; 0 if it is not.
	Cold time.Duration
	// Models that it holds, with their adapters.
	Models []Holding
	// InMemory and OnDisk name the models of which the engine keeps a copy there. A load from a copy is
	// faster than one from the weight store and does not count as one.
	InMemory []string
	OnDisk   []string
	// Revision is the store's revision at which the entry was written.
	Revision int64
}

// Holding is a model that an engine holds.
type Holding struct {
	Model    string
	Adapters []string
}
