package cluster

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// Methods that boxes call on each other. The values are on the wire.
const (
	methodExchange = "exchange"
	methodSync     = "copy"
	methodEnsure   = "ensure"
	methodPiece    = "piece"
	methodSpend    = "spend"
	methodReserve  = "reserve"
	methodFinish   = "prefilled"
	methodRate     = "cold" // The name that boxes of the previous version know.

	methodPlace        = "place"
	methodReturnPlaces = "place-return"

	methodRecordOrigins = "origins-record"
	methodAskOrigin     = "origins-ask"
	methodSaveOrigins   = "origins-save"
)

// Box holds what a box registers about itself in the store and sends with each exchange.
type Box struct {
	Name string `json:"name"`
	Hall string `json:"zone"`
	// Address is where other boxes reach it, IP:PORT.
	Address string `json:"address"`
	// Incarnation differs with each start of the process.
	Incarnation string `json:"incarnation"`
	// Cores is the processor time that the box may use, in cores.
	Cores float64 `json:"cores,omitempty"`
	// CarriesTunnels means that the box carries connections to upstreams for others. A box of the previous version does
	// not.
	CarriesTunnels bool `json:"tunnels,omitempty"`
	// KeepsOrigins means that the box keeps records of where streams began. A box of the previous version does not.
	KeepsOrigins bool `json:"origins,omitempty"`
}

// scope is the set of boxes that the load summary of an exchange covers.
type scope string

const (
	// ownScope covers the sender alone: in a small fleet each box sends every other its own.
	ownScope scope = "own"
	// memberScope covers the sender alone, which sends it to the relay of its hall. The relay answers with
	// fleetScope.
	memberScope scope = "member"
	// hallScope covers all boxes that send the relay their own summary. A relay sends it to other relays.
	hallScope scope = "zone"
	// fleetScope covers all boxes except the receiver. A relay sends it to the boxes of its hall.
	fleetScope scope = "fleet"
	// noScope covers no box: the exchange has no load summary.
	noScope scope = "none"
)

// loadSummary is the load of some boxes, added up.
type loadSummary struct {
	// Boxes is how many boxes are counted, and StoreLost how many of them lost the store.
	Boxes     int `json:"machines"`
	StoreLost int `json:"storeLost,omitempty"`
	// Loads by upstream.
	Loads map[string]dispatch.Load `json:"loads,omitempty"`
	Uses  []residency.ModelUse     `json:"uses,omitempty"`
}

// message is one side of an exchange: the caller sends one and receives one as the answer.
type message struct {
	From  Box   `json:"from"`
	Scope scope `json:"voice"`
	// Leaving means that the sender is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// StoreLost means that the sender does not reach the store.
	StoreLost bool `json:"storeLost,omitempty"`
	// LinksLost means that the sender reaches no upstream over its own links, while other boxes do.
	LinksLost bool `json:"linksLost,omitempty"`
	// StoreAge is how long ago the store itself last answered the sender. Staleness is how long ago the sender's
	// copy of the store was current by any source. Both are negative if that never happened.
	StoreAge  time.Duration `json:"storeAge"`
	Staleness time.Duration `json:"staleness"`
	// Revision is the sequence number of the revision of the sender's copy of the store, under StoreEpoch. NamesEpoch
	// means that the sender knows of epochs; a box of the previous version does not.
	Revision   int64 `json:"revision"`
	StoreEpoch int64 `json:"storeEpoch,omitempty"`
	NamesEpoch bool  `json:"namesEpoch,omitempty"`
	// Delta holds the changes that the sender's copy of the store has and the receiver's lacks.
	Delta *mirror.Delta `json:"delta,omitempty"`
	// OrderHolder is the box that holds the order lease according to the sender; nil if none is known.
	OrderHolder *orderHolder `json:"orderHolder,omitempty"`
	// Version is that of the sender's directory, and Update holds what the receiver's directory lacks.
	Version fleet.Version `json:"stamp"`
	Update  *fleet.Update `json:"words,omitempty"`
	Summary *loadSummary  `json:"tally,omitempty"`
	// Observations and Work have not been sent to the receiver before.
	Observations dispatch.Observations `json:"news"`
	Work         []workItem            `json:"work,omitempty"`
	// PackedActivity replaces Summary, Observations and Work where these are long; see pack.
	PackedActivity []byte `json:"packed,omitempty"`
	// BinaryActivity replaces the same fields, in binary format, for a box that reads it; see activity.encode. Only
	// Observations.Paused is still sent as JSON, because the binary format has no such field.
	BinaryActivity []byte `json:"activity,omitempty"`
	// ReadsBinary means that the sender reads BinaryActivity.
	ReadsBinary bool `json:"readsBinary,omitempty"`
	// Crashes reports changes of the sender's records of requests under which upstreams crashed.
	Crashes *quarantine.Update `json:"crashes,omitempty"`
	// PartCrashes reports changes of the sender's records of shared parts of prompts under which upstreams crashed. A box
	// of the previous version ignores them.
	PartCrashes *quarantine.Update `json:"partCrashes,omitempty"`
	// LeavingUpstreams are upstreams that announced in an answer to some box that they are leaving, and that the
	// sender's list does not yet show as leaving. A box of the previous version ignores them.
	LeavingUpstreams []string `json:"leavingUpstreams,omitempty"`
	// Limits reports limits that upstreams set or changed, and limits that ended.
	Limits []fleet.LimitReport `json:"limits,omitempty"`
	// HeldConfig is the configuration in force at the sender, if the store does not have it any more. A box of the
	// previous version ignores it.
	HeldConfig *heldConfigClaim `json:"heldConfig,omitempty"`
	// LostHalls are the halls that the sender does not reach, for boxes of its own hall. A box of the previous version
	// ignores them.
	LostHalls fleet.HallLosses `json:"lostHalls,omitempty"`
	// Pieces means that the sender fetches large records and packed sync answers in pieces. A box of a version that
	// does not is sent them whole.
	Pieces bool `json:"pieces,omitempty"`
}

// activity is the part of a message about load, observations and requested work.
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
	// Age is how long ago the holder itself sent the report.
	Age time.Duration `json:"age"`
}

// workItem is work that was requested of a model.
type workItem struct {
	residency.WorkKey
	// Milliseconds of an engine's time.
	Milliseconds float64 `json:"w"`
}

// syncRequest requests what is newer than a revision of the store and a version of the directory.
type syncRequest struct {
	// Revision, StoreEpoch and NamesEpoch are those of message.
	Revision   int64         `json:"revision"`
	StoreEpoch int64         `json:"storeEpoch,omitempty"`
	NamesEpoch bool          `json:"namesEpoch,omitempty"`
	Version    fleet.Version `json:"stamp"`
	// Pieces is that of message.
	Pieces bool `json:"pieces,omitempty"`
	// Binary means that the caller reads packed answers in binary format.
	Binary bool `json:"binary,omitempty"`
}

// syncAnswer holds the newer state; a field is nil where there is nothing newer.
type syncAnswer struct {
	Delta  *mirror.Delta `json:"delta,omitempty"`
	Update *fleet.Update `json:"words,omitempty"`
	// Packed is the id of a blob to fetch that contains this answer, where it is too long to be sent directly. All
	// other fields are then empty.
	Packed blobID `json:"packed,omitempty"`
	// Since is the directory version that Update follows; set in a packed answer only.
	Since fleet.Version `json:"since,omitzero"`
}

// pieceRequest requests one piece of a packed blob.
type pieceRequest struct {
	// From is the peer address of the caller.
	From string `json:"from"`
	Blob blobID `json:"content"`
	// Offset of the piece, in bytes.
	Offset int `json:"offset"`
}

// pieceAnswer is one piece of a packed blob.
type pieceAnswer struct {
	// Size of the whole blob, in bytes; 0 if the box does not have it.
	Size int    `json:"size,omitempty"`
	Data []byte `json:"data,omitempty"`
	// Busy means that the box already sends to as many others as it may. Retry later, or ask one of Holders.
	Busy bool `json:"busy,omitempty"`
	// Holders are the peer addresses of boxes that fetched the blob from this one.
	Holders []string `json:"holders,omitempty"`
}

// ensureRequest requests an adapter or model from the order holder.
type ensureRequest struct {
	residency.Want
}

// ensureAnswer states where the adapter or model is, or when it will be there. Error is why it is not provided.
type ensureAnswer struct {
	residency.EnsureResult
	Error string `json:"error,omitempty"`
}
