package gateway

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// Methods that machines call on each other.
const (
	methodExchange = "exchange"
	methodCopy     = "copy"
	methodEnsure   = "ensure"
	methodYield    = "yield"
	methodRevoke   = "revoke"
)

// node is what a machine registers about itself in the store.
type node struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address for other machines, IP:PORT.
	Address string `json:"address"`
	// Incarnation differs from start to start.
	Incarnation string `json:"incarnation"`
}

// exchange is what two machines tell each other: each sends one and is answered by one.
type exchange struct {
	From node `json:"from"`
	// Leaving machines are about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// StoreLost tells that the sender does not reach the store.
	StoreLost bool `json:"storeLost,omitempty"`
	// StoreAge is how long ago the sender last heard the store.
	StoreAge time.Duration `json:"storeAge"`
	// Revision of the sender's copy of the store.
	Revision int64 `json:"revision"`
	// Holder tells that the sender holds the order lease, under Stamp's term.
	Holder bool `json:"holder,omitempty"`
	// Stamp is how new the sender's knowledge of the order holder's word is.
	Stamp fleet.Stamp `json:"stamp"`
	// Residencies are the order holder's words, if the other side knew less.
	Residencies map[string]fleet.Residency `json:"residencies,omitempty"`
	News        dispatch.News              `json:"news"`
	Work        []workItem                 `json:"work,omitempty"`
	Uses        []residency.Use            `json:"uses,omitempty"`
}

// workItem is work that was asked of a model.
type workItem struct {
	residency.ModelKey
	// Milliseconds of an engine's time.
	Milliseconds float64 `json:"w"`
}

// copyRequest asks for what is newer than a copy of the store.
type copyRequest struct {
	Revision int64 `json:"revision"`
}

// copyAnswer holds it; nil if there is nothing newer.
type copyAnswer struct {
	Delta *mirror.Delta `json:"delta,omitempty"`
}

// ensureRequest asks the order holder for an adapter or model.
type ensureRequest struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

// ensureAnswer tells where it is, or when it will be; Error is why not.
type ensureAnswer struct {
	residency.Ensured
	Error string `json:"error,omitempty"`
}

// yieldRequest has a former holder of the order lease stop giving orders under older terms.
type yieldRequest struct {
	Term int64  `json:"term"`
	To   string `json:"to"`
}

// yieldAnswer tells when the last orders were given.
type yieldAnswer struct {
	// Ages of the last order, by engine.
	Ages map[string]time.Duration `json:"ages"`
	// Others is the least age of the last order to any other engine.
	Others time.Duration `json:"others"`
}

// revokeRequest has a machine revoke a lease in the store.
type revokeRequest struct {
	Lease kv.LeaseID `json:"lease"`
}
