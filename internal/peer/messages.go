package peer

import (
	"encoding/json"
	"time"

	"ospreymoor.example/ospreymoor/pkg/burn"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// Methods that boxes in the native mode call on each other. The values are on the wire.
const (
	MethodHello     = "hello"
	MethodHeartbeat = "beat"
	MethodRecords   = "records"
	MethodOutcome   = "answer"
	MethodDemand    = "demand"
	MethodKeepBurn  = "burn.keep"
	MethodBurn      = "burn.all"
)

// Hello is the first message on a connection; no other method is answered before it.
type Hello struct {
	Secret string `json:"secret"`
}

// Heartbeat describes its sender and what has changed since its last heartbeat.
type Heartbeat struct {
	Peer membership.Peer `json:"peer,omitzero"`
	// Generations are those of the records that the box holds: of the changed ones, or of all if Full is set.
	Generations map[string]records.Generation `json:"generations,omitempty"`
	// Full is set if Generations holds all records.
	Full bool `json:"full,omitempty"`
	// Sent is the number of requests that the box has sent to each upstream since it started; unchanged counts are
	// left out.
	Sent map[string]int64 `json:"sent,omitempty"`
	// Leaving lists upstreams that reported that they are leaving.
	Leaving []string `json:"leaving,omitempty"`
}

// RecordsRequest asks for records by name.
type RecordsRequest struct {
	Names []string `json:"names"`
}

// RecordsResponse holds the requested records that the box has.
type RecordsResponse struct {
	Records []records.Record `json:"records"`
}

// OutcomeRequest asks for the outcome of a run that the box has claimed.
type OutcomeRequest struct {
	RequestID string `json:"requestId"`
	// Wait bounds how long the box waits for the end of a run in progress; in nanoseconds on the wire.
	Wait time.Duration `json:"wait"`
}

// RunOutcome is the outcome of a claimed run, as the box that claimed it reports it.
type RunOutcome string

// The outcomes of a claimed run. The values are on the wire.
const (
	// RunUnknown: the box no longer remembers the run, or the answer broke off.
	RunUnknown RunOutcome = "unknown"
	// RunNotRun: it was not sent to an upstream and will not be.
	RunNotRun RunOutcome = "not run"
	// RunRunning: it was claimed and has no outcome yet.
	RunRunning RunOutcome = "running"
	// RunDone: it has ended; for a plain service, the response has its answer.
	RunDone RunOutcome = "done"
)

// OutcomeResponse holds the outcome of a claimed run.
type OutcomeResponse struct {
	Outcome RunOutcome `json:"fate"`
	Answer  *Answer    `json:"answer,omitempty"`
}

// Answer is a plain service's answer, kept for later attempts of the same request.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// Demand is the mean number of requests for each model that ran, or would have run, concurrently.
type Demand struct {
	// From is a box's id, or a hall's name in a report of the hall's controller.
	From   string             `json:"from"`
	Models map[string]float64 `json:"models"`
	// Planner is set if this is a hall's sum, for the planner.
	Planner bool `json:"planner,omitempty"`
}

// KeepBurnRequest asks a box to keep a copy of another's counters for the burn report.
type KeepBurnRequest struct {
	Snapshot burn.Snapshot `json:"snapshot"`
}

// BurnResponse holds a box's own counters and those that it keeps for others.
type BurnResponse struct {
	Snapshots []burn.Snapshot `json:"snapshots"`
}

// Empty is the result of methods that return none.
type Empty struct{}

// decode returns a request's parameters; the zero value if it has none.
func decode[T any](raw *json.RawMessage) (T, error) {
	var params T
	if raw == nil {
		return params, nil
	}
	err := json.Unmarshal(*raw, &params)
	return params, err
}
