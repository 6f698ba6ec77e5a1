package orderlease

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// Methods that boxes call on each other.
const (
	methodYield  = "yield"
	methodRevoke = "revoke"
)

// yieldRequest has a former holder of the order lease stop giving orders under older terms.
type yieldRequest struct {
	Term int64  `json:"term"`
	To   string `json:"to"`
}

// yieldAnswer is when the last orders were given.
type yieldAnswer struct {
	// Ages of the last order, by engine.
	Ages map[string]time.Duration `json:"ages"`
	// Others is the least age of the last order to any other engine.
	Others time.Duration `json:"others"`
}

// revokeRequest has a box revoke a lease in the store.
type revokeRequest struct {
	Lease kv.LeaseID `json:"lease"`
}

// holderRecord is what the store keeps of the box that last gave orders.
type holderRecord struct {
	Name string `json:"name"`
	// Settled reports that no orders of a box before it can arrive any more.
	Settled bool `json:"settled,omitempty"`
}
