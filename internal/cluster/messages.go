package cluster

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// Methods that boxes call on each other.
const (
	methodExchange = "exchange"
	methodCopy     = "copy"
	methodEnsure   = "ensure"
	methodPiece    = "piece"
	methodSpend    = "spend"
	methodReserve  = "reserve"
	methodRate     = "cold" // The name that boxes of the version before know.
)

// Box is what a box registers about itself in the store, and sends with each exchange.
type Box struct {
	Name string `json:"name"`
	Hall string `json:"zone"`
	// Address for other boxes, IP:PORT.
	Address string `json:"address"`
	// Incarnation differs from start to start.
	Incarnation string `json:"incarnation"`
	// Cores is the processor time that the box may use, in cores.
	Cores float64 `json:"cores,omitempty"`
}

// scope is whom the load summary of an exchange covers.
type scope string

const (
	// ownScope covers the sender alone: in a small fleet each box sends every other its own.
	ownScope scope = "own"
	// memberScope covers the sender alone, which sends it to the relay of its hall. The relay
	// answers with fleetScope.
	memberScope scope = "member"
	// hallScope covers all boxes that send the relay their own: a relay sends it to other relays.
	hallScope scope = "zone"
	// fleetScope covers all boxes but the one that receives it: a relay sends it to its hall.
	fleetScope scope = "fleet"
	// noScope covers nobody: the exchange has no load summary.
	noScope scope = "none"
)

// loadSummary is what some boxes have under way, added up.
type loadSummary struct {
	// Boxes that are counted, and how many of them lost the store.
	Boxes     int `json:"machines"`
	StoreLost int `json:"storeLost,omitempty"`
	// Loads by upstream.
	Loads map[string]dispatch.Load `json:"loads,omitempty"`
	Uses  []residency.ModelUse     `json:"uses,omitempty"`
}

// message is one side of an exchange: the caller sends one and is answered by one.
type message struct {
	From  Box   `json:"from"`
	Scope scope `json:"voice"`
	// Leaving boxes are about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// StoreLost means that the sender does not reach the store.
	StoreLost bool `json:"storeLost,omitempty"`
	// StoreAge is how long ago the store itself last answered the sender, and Staleness how long
	// ago the sender's copy of the store was current by any source; negative if never.
	StoreAge  time.Duration `json:"storeAge"`
	Staleness time.Duration `json:"staleness"`
	// Revision of the sender's copy of the store.
	Revision int64 `json:"revision"`
	// Delta is what the sender's copy of the store has newer than the receiver's.
	Delta *mirror.Delta `json:"delta,omitempty"`
	// OrderHolder is the box that holds the order lease, as far as the sender knows.
	OrderHolder *orderHolder `json:"orderHolder,omitempty"`
	// Version is that of the sender's directory, and Update what the receiver's lacks of it.
	Version fleet.Version `json:"stamp"`
	Update  *fleet.Update `json:"words,omitempty"`
	Summary *loadSummary  `json:"tally,omitempty"`
	// Observations and Work are what the receiver was not sent yet.
	Observations dispatch.Observations `json:"news"`
	Work         []workItem            `json:"work,omitempty"`
	// PackedActivity has Summary, Observations and Work in their place, where they are long; see pack.
	PackedActivity []byte `json:"packed,omitempty"`
	// BinaryActivity has the same in their place in binary form, for a box that reads it; see activity.encode.
	BinaryActivity []byte `json:"activity,omitempty"`
	// ReadsBinary means that the sender reads BinaryActivity.
	ReadsBinary bool `json:"readsBinary,omitempty"`
	// Crashes is what the sender knows newly of requests under which upstreams crashed.
	Crashes *quarantine.Update `json:"crashes,omitempty"`
	// LeavingUpstreams leave by what answers told some box, and the sender's list does not say so yet. A box of the version before does not
	// read it.
	LeavingUpstreams []string `json:"leavingUpstreams,omitempty"`
	// Limits is what the sender knows newly of limits that upstreams name, and of their ends.
	Limits []fleet.LimitReport `json:"limits,omitempty"`
	// Pieces means that the sender fetches large records and packed copies in pieces. A box of a version
	// that does not is sent them whole.
	Pieces bool `json:"pieces,omitempty"`
}

// activity is the part of a message that tells what goes on at boxes and upstreams.
type activity struct {
	Summary      *loadSummary          `json:"tally,omitempty"`
	Observations dispatch.Observations `json:"news"`
	Work         []workItem            `json:"work,omitempty"`
}

// orderHolder is a report of which box holds the order lease.
type orderHolder struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Term    int64  `json:"term"`
	// Age is how long ago the holder itself sent it.
	Age time.Duration `json:"age"`
}

// workItem is work that was asked of a model.
type workItem struct {
	residency.WorkKey
	// Milliseconds of an engine's time.
	Milliseconds float64 `json:"w"`
}

// copyRequest asks for what is newer than a copy of the store and a version of the directory.
type copyRequest struct {
	Revision int64         `json:"revision"`
	Version  fleet.Version `json:"stamp"`
	// Pieces is that of message.
	Pieces bool `json:"pieces,omitempty"`
	// Binary means that the caller reads packed copies in binary form.
	Binary bool `json:"binary,omitempty"`
}

// copyAnswer holds them; nil where there is nothing newer.
type copyAnswer struct {
	Delta  *mirror.Delta `json:"delta,omitempty"`
	Update *fleet.Update `json:"words,omitempty"`
	// Packed names a content to fetch that is this answer, where it is too long to be sent at once. It
	// comes alone.
	Packed contentID `json:"packed,omitempty"`
	// Since is the version of the directory after which Update is, in a packed answer.
	Since fleet.Version `json:"since,omitzero"`
}

// pieceRequest asks for a part of a packed content.
type pieceRequest struct {
	// From is the address of the caller.
	From    string    `json:"from"`
	Content contentID `json:"content"`
	// Offset of the part, in bytes.
	Offset int `json:"offset"`
}

// pieceAnswer is a part of a packed content.
type pieceAnswer struct {
	// Size of the whole, in bytes; 0 if the box does not have it.
	Size int    `json:"size,omitempty"`
	Data []byte `json:"data,omitempty"`
	// Busy means that the box sends to as many others as it may: ask again, or ask one of Holders.
	Busy bool `json:"busy,omitempty"`
	// Holders are addresses of boxes that fetched the content from this one.
	Holders []string `json:"holders,omitempty"`
}

// ensureRequest asks the order holder for an adapter or model.
type ensureRequest struct {
	residency.Want
}

// ensureAnswer is where it is, or when it will be; Error is why not.
type ensureAnswer struct {
	residency.EnsureResult
	Error string `json:"error,omitempty"`
}
