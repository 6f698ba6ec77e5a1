// Package gateway serves the requests of callers: it finds the route, chooses an upstream, sends the
// request, retries where that is safe, and passes the answer on. See Gateway.Serve for the way of a
// request.
//
// It owns the requests under way on this box, this box's share of the retry budget, and the drain of
// its front. It relies on the route table (pkg/routes), the directory of upstreams (pkg/fleet), the
// predicted waits (pkg/dispatch) and the order holder, which it asks for what no engine holds. It
// knows no protocol of callers, upstreams or the platform: those are function fields.
//
// `ospreymoor node` uses it. Its look-alike of `ospreymoor serve` is internal/box. That one writes a
// claim before a request that may run only once; here each attempt of a caller has an id of its own, so that no claim is
// needed. Both limit customers: this one by the keys and quotas of pkg/customers.
package gateway

import (
	"net/http"
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// Request is a caller's request, whatever protocol it came by. It has as many fields as there are
// things that a caller may give.
type Request struct {
	// ID names this attempt of the caller; no two attempts share one.
	ID      string
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero if it gave none.
	Deadline time.Time
	// Method, URI, Host, Header and Body pass to the upstream unaltered.
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Credential names the customer. Header has none of it.
	Credential customers.Credential
	// Path is the part of URI that routes are matched with.
	Path string
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// Prompt is the parts of the prompt that other requests may share, in their order.
	Prompt []dispatch.PromptPart
	// PromptTokens and AnswerTokens are the sizes that the caller gave; 0 if it gave none.
	PromptTokens int
	AnswerTokens int
	// LengthGuess is the caller's guess of the answer's tokens; 0 if it made none.
	LengthGuess int
	// LastEventID is the last event that the caller has, if it resumes a stream.
	LastEventID string
}
