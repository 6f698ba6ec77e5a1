// Package gateway serves requests: it finds the route, chooses a back end, sends the request,
// tries again where that is safe, and passes the answer on.
//
// It knows no protocol of callers, back ends or the platform: those are ports.
package gateway

import (
	"net/http"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// Request is a caller's request, whatever door it came by.
type Request struct {
	// ID names this attempt of the caller; no two attempts share one.
	ID      string
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero if it did not say.
	Deadline time.Time
	// Method, URI, Host, Header and Body pass to the back end unaltered.
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Path is the part of URI that routes are matched with.
	Path string
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	Prompt  []dispatch.PromptPart
	// PromptTokens and AnswerTokens are the sizes that the caller told.
	PromptTokens int
	AnswerTokens int
	// LengthGuess is the caller's guess of the answer's tokens; 0 if it made none.
	LengthGuess int
	// LastEventID is the last event that the caller has, if it resumes a stream.
	LastEventID string
}

// Attempt is one sending of a request to one back end.
type Attempt struct {
	Request *Request
	// Left is the time that the back end may take; 0 is no bound.
	Left time.Duration
	// LastEventID resumes a stream behind this event.
	LastEventID string
	// Urgency ranks requests at an engine; 0 is the most urgent.
	Urgency int
}
