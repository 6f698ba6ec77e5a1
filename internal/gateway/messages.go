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
	// Cores is the processor time that the machine may use, in cores.
	Cores float64 `json:"cores,omitempty"`
}

// voice tells for whom the sender of an exchange speaks.
type voice string

const (
	// ownVoice is a machine's own: small fleets tell each other everything.
	ownVoice voice = "own"
	// memberVoice is a machine's own, told to the relay of its zone, which answers for the fleet.
	memberVoice voice = "member"
	// zoneVoice is a relay's for all machines that it heard by themselves.
	zoneVoice voice = "zone"
	// fleetVoice is a relay's for all machines but the one that is told.
	fleetVoice voice = "fleet"
	// noVoice tells no loads.
	noVoice voice = "none"
)

// tally is what some machines have under way, summed up.
type tally struct {
	// Machines that are counted, and how many of them lost the store.
	Machines  int `json:"machines"`
	StoreLost int `json:"storeLost,omitempty"`
	// Loads by back end.
	Loads map[string]dispatch.Load `json:"loads,omitempty"`
	Uses  []residency.AdapterUse   `json:"uses,omitempty"`
}

// exchange is what two machines tell each other: each sends one and is answered by one.
type exchange struct {
	From  node  `json:"from"`
	Voice voice `json:"voice"`
	// Leaving machines are about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// StoreLost tells that the sender does not reach the store.
	StoreLost bool `json:"storeLost,omitempty"`
	// StoreAge is how long ago the sender last heard the store, and Staleness how long ago its
	// copy of the store was current by anybody's word; negative if never.
	StoreAge  time.Duration `json:"storeAge"`
	Staleness time.Duration `json:"staleness"`
	// Revision of the sender's copy of the store.
	Revision int64 `json:"revision"`
	// Delta is what the sender's copy of the store has newer than the other side's.
	Delta *mirror.Delta `json:"delta,omitempty"`
	// OrderHolder is the machine that gives orders, as far as the sender knows.
	OrderHolder *orderHolder `json:"orderHolder,omitempty"`
	// Stamp is how new the sender's knowledge of the order holder's words is, and Words what the
	// other side lacks of them.
	Stamp fleet.Version         `json:"stamp"`
	Words *fleet.Update         `json:"words,omitempty"`
	Tally *tally                `json:"tally,omitempty"`
	News  dispatch.Observations `json:"news"`
	Work  []workItem            `json:"work,omitempty"`
}

// orderHolder is the word that a machine holds the order lease.
type orderHolder struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Term    int64  `json:"term"`
	// Age is how long ago it said so itself.
	Age time.Duration `json:"age"`
}

// workItem is work that was asked of a model.
type workItem struct {
	residency.ModelKey
	// Milliseconds of an engine's time.
	Milliseconds float64 `json:"w"`
}

// copyRequest asks for what is newer than a copy of the store and the order holder's words.
type copyRequest struct {
	Revision int64         `json:"revision"`
	Stamp    fleet.Version `json:"stamp"`
}

// copyAnswer holds them; nil where there is nothing newer.
type copyAnswer struct {
	Delta *mirror.Delta `json:"delta,omitempty"`
	Words *fleet.Update `json:"words,omitempty"`
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
