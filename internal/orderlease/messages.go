package orderlease

import "time"

// Methods that boxes call on each other.
const (
	methodYield  = "yield"
	methodRevoke = "revoke"
)

// yieldRequest asks a former holder of the order lease to stop giving orders under terms below Term. To is the name
// of the new holder.
type yieldRequest struct {
	Term int64  `json:"term"`
	To   string `json:"to"`
}

// yieldAnswer reports how long ago the last orders were given.
type yieldAnswer struct {
	// Ages holds the age of the last order to each engine.
	Ages map[string]time.Duration `json:"ages"`
	// Others is the least age that the last order to any other engine can have.
	Others time.Duration `json:"others"`
	// Term is the highest term that the answering box ever held; 0 if it does not report it. The new holder needs a
	// higher one.
	Term int64 `json:"term,omitempty"`
}

// revokeRequest asks a box to revoke a lease in the store.
type revokeRequest struct {
	Lease int64 `json:"lease"`
	// Epoch is the store's epoch in which the lease was granted.
	Epoch int64 `json:"epoch,omitempty"`
}

// holderRecord is the record in the store of the box that last gave orders.
type holderRecord struct {
	Name string `json:"name"`
	// Settled reports that orders of the holders before it can no longer arrive.
	Settled bool `json:"settled,omitempty"`
	// Term is the highest term under which the box gave orders, and Epoch the store's epoch in which it wrote this. A
	// record of an earlier epoch may name a box that was not the last: the store lost what was written later.
	Term  int64 `json:"term,omitempty"`
	Epoch int64 `json:"epoch,omitempty"`
}
