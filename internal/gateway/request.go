// Package gateway serves the requests of callers. It finds the route, chooses an upstream, sends the request,
// retries where that is safe, and passes the answer on. Gateway.Serve lists these steps and the files that
// implement them.
//
// The package owns the requests in flight on this box, this box's share of the retry budget, and the drain of its
// HTTP front end. It relies on the route table (pkg/routes), the directory of upstreams (pkg/fleet), the predicted
// waits (pkg/dispatch), and the order holder, which it asks to load models and adapters that no engine holds. It
// knows no wire protocol of callers, upstreams or the platform: those are supplied as function fields.
//
// `ospreymoor node` uses it. The counterpart in `ospreymoor serve` is internal/box. That package writes a claim
// before a request that may run only once. Here each attempt of a caller has an id of its own, so no claim is
// needed. Both limit customers; this package uses the keys and quotas of pkg/customers.
package gateway

import (
	"net/http"
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// Request is a caller's request, whatever protocol it came by. It has one field for each thing that a caller may
// specify.
type Request struct {
	// ID identifies this attempt of the caller; no two attempts share one.
	ID      string
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero if it gave none.
	Deadline time.Time
	// Method, URI, Host, Header and Body are passed to the upstream unaltered.
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Credential identifies the customer. Header does not contain it.
	Credential customers.Credential
	// Path is the part of URI that is matched against routes.
	Path string
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// Prompt is the parts of the prompt that other requests may share, in order.
	Prompt []dispatch.PromptPart
	// PromptTokens and AnswerTokens are the sizes that the caller stated; 0 if it stated none.
	PromptTokens int
	AnswerTokens int
	// LengthGuess is the caller's estimate of the answer's length in tokens; 0 if it gave none.
	LengthGuess int
	// LastEventID is the id of the last event that the caller received, if it resumes a stream.
	LastEventID string
	// Resumes names the attempt of the caller that brought the first event of the stream that it resumes. A caller may
	// send none or several.
	Resumes []string
}

// maxLoggedResumes and maxLoggedIDBytes bound what a log line has of Resumes.
const (
	maxLoggedResumes = 2
	maxLoggedIDBytes = 64
)

// loggedResumes returns Resumes, cut to what a log line may have.
func (r *Request) loggedResumes() []string {
	var logged []string
	for _, id := range r.Resumes[:min(len(r.Resumes), maxLoggedResumes)] {
		logged = append(logged, id[:min(len(id), maxLoggedIDBytes)])
	}
	return logged
}
