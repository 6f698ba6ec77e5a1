package peer

import (
	"encoding/json"
	"time"

	"ospreymoor.example/ospreymoor/pkg/burn"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// Methods that boxes call on each other.
const (
	MethodHello   = "hello"
	MethodBeat    = "beat"
	MethodRecords = "records"
	MethodAnswer  = "answer"
	MethodDemand  = "demand"
	MethodKeep    = "burn.keep"
	MethodBurn    = "burn.all"
)

// Hello opens a connection; nothing else is answered before it.
type Hello struct {
	Secret string `json:"secret"`
}

// Beat is a heartbeat with what changed since the last one.
type Beat struct {
	Peer membership.Peer `json:"peer,omitzero"`
	// Generations of the records that the box holds.
	Generations map[string]records.Generation `json:"generations,omitempty"`
	// Full tells that these are all, not only those that changed.
	Full bool `json:"full,omitempty"`
	// Sent counts the box's dispatches to upstreams whose count changed.
	Sent map[string]int64 `json:"sent,omitempty"`
	// Leaving are upstreams that told the box that they leave.
	Leaving []string `json:"leaving,omitempty"`
}

// RecordsRequest asks for records by name.
type RecordsRequest struct {
	Names []string `json:"names"`
}

// RecordsResponse holds those of the records that the box has.
type RecordsResponse struct {
	Records []records.Record `json:"records"`
}

// AnswerRequest asks what became of a request that the box has claimed.
type AnswerRequest struct {
	RequestID string `json:"requestId"`
	// Wait bounds how long the box waits for a request under way.
	Wait time.Duration `json:"wait"`
}

// Fate is what became of a claimed request.
type Fate string

// The fates of a claimed request.
const (
	// FateUnknown: the box does not know, or its dispatch broke off.
	FateUnknown Fate = "unknown"
	// FateNotRun: it was not handed out and will not be.
	FateNotRun Fate = "not run"
	// FateRunning: it was handed out and has no end yet.
	FateRunning Fate = "running"
	// FateDone: Answer holds its answer.
	FateDone Fate = "done"
)

// AnswerResponse tells a request's fate.
type AnswerResponse struct {
	Fate   Fate    `json:"fate"`
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is a plain service's answer, kept for those who ask again.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// Demand is how many requests for each model ran or would have run at once.
type Demand struct {
	// From is a box's id, or a hall's name when the hall's controller passes it on.
	From   string             `json:"from"`
	Models map[string]float64 `json:"models"`
	// Planner tells that this is a hall's sum for the planner.
	Planner bool `json:"planner,omitempty"`
}

// KeepRequest asks a box to keep another's counters.
type KeepRequest struct {
	Snapshot burn.Snapshot `json:"snapshot"`
}

// BurnResponse holds a box's own counters and those that it keeps for others.
type BurnResponse struct {
	Snapshots []burn.Snapshot `json:"snapshots"`
}

// Empty is the answer of calls that answer nothing.
type Empty struct{}

func decode[T any](raw *json.RawMessage) (T, error) {
	var params T
	if raw == nil {
		return params, nil
	}
	err := json.Unmarshal(*raw, &params)
	return params, err
}
