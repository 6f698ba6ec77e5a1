package gateway

import (
	"net/http"
	"strconv"
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
)

// reason is why a request gets no answer from an upstream. It appears in logs and metrics.
type reason string

// The reasons. Each comment describes the state that the reason stands for.
const (
	// reasonNoConfig: this box has no route table yet.
	reasonNoConfig reason = "no configuration yet"
	// reasonNoRoute: the route table has no route for the host and path.
	reasonNoRoute reason = "no route"
	// reasonOldConfig: no route was found, and a newer configuration that this box lacks may have one.
	reasonOldConfig reason = "configuration out of date"
	// reasonNoUpstream: the service has no usable upstream that this request has not tried yet.
	reasonNoUpstream reason = "no upstream"
	// reasonNoModel: no usable engine holds the model.
	reasonNoModel reason = "model not loaded"
	// reasonNoAdapter: engines hold the model, but none of them the adapter.
	reasonNoAdapter reason = "adapter not loaded"
	// reasonUnreachable: the upstreams that hold all that is needed were unreachable, or reported it missing, a
	// moment ago.
	reasonUnreachable reason = "upstreams that have it do not answer"
	// reasonNoLinks: this box has lost its links to all upstreams, and no other box carries its connections.
	reasonNoLinks reason = "no links to upstreams"
	// reasonBackoff: the upstreams that hold all that is needed asked this box for a backoff, in which they get no
	// requests.
	reasonBackoff reason = "upstreams want rest"
	// reasonCold: the engines that hold all that is needed are cold and already get as many requests as they can
	// handle.
	reasonCold reason = "upstreams are cold"
	// reasonLimited: the upstreams that hold all that is needed name rate limits and already get as many
	// requests as those allow.
	reasonLimited reason = "upstreams limit requests"
	// reasonRegion: no upstream of the service is in a region where the request may be served.
	reasonRegion reason = "no upstream in an allowed region"
	// reasonOtherVersion: no remaining upstream of the service runs the software version that began the stream.
	reasonOtherVersion reason = "no upstream of the stream's version"
	// reasonOriginUnknown: several software versions are in use, and it is not known which of them began the stream.
	reasonOriginUnknown reason = "stream's version unknown"
	// reasonEvacuated: all remaining upstreams of the service are in evacuated halls.
	reasonEvacuated reason = "halls evacuated"
	// reasonFull: the predicted wait at the best engine exceeds the admission limit.
	reasonFull reason = "upstreams full"
	// reasonBroken: an attempt may have run, and its answer was lost or incomplete.
	reasonBroken reason = "answer broken"
	// reasonNotExecuted: the upstream of the latest attempt did not execute it.
	reasonNotExecuted reason = "not executed"
	// reasonAttempts: the request has no attempts left.
	reasonAttempts reason = "attempts used up"
	// reasonBudget: this box has spent its share of the service's retry budget.
	reasonBudget reason = "retry budget used up"
	// reasonTimeout: the deadline of the request passed.
	reasonTimeout reason = "time is over"
	// reasonCallerLeft: the caller closed its connection.
	reasonCallerLeft reason = "caller left"
	// reasonOverQuota: the customer has spent its quota over all boxes.
	reasonOverQuota reason = "over quota"
	// reasonCrashes: several upstreams in a row crashed under the request, at whichever boxes it arrived.
	reasonCrashes reason = "upstreams crash under it"
	// reasonCrashPart: several upstreams in a row crashed under requests with one part of its prompt.
	reasonCrashPart reason = "upstreams crash under a part of its prompt"
	// reasonMemory: this box uses as much memory for callers as it may.
	reasonMemory reason = "box holds too much"
	// reasonStopping: this box is draining.
	reasonStopping reason = "box stops"
)

// refusal is a final answer that the gateway itself gives.
//
//	what is known                     status  Retry-After
//	no upstream ran the request       503     retryAfter
//	the host and path have no route   404     none
//	it may have run, deadline passed  504     none
//	it may have run, any other cause  502     none
//	no key, or one of no customer     401     none
//	the customer's quota is spent     429     until the quota allows the request
//	the caller left                   499     nothing is written; the status is only logged
//
// A request that may run any number of times is treated as one that no upstream ran.
type refusal struct {
	reason reason
	status int
	// retryAfter is after how long the caller may send the request again; 0 if unknown.
	retryAfter time.Duration
}

// statusCallerLeft is the status that is commonly logged for a client that closed its connection.
const statusCallerLeft = 499

// notRun returns the refusal of a request that no upstream ran. expected is the time until the cause is expected
// to be gone; 0 if unknown.
func notRun(cause reason, expected time.Duration) *refusal {
	return &refusal{reason: cause, status: http.StatusServiceUnavailable, retryAfter: retryAfter(cause, expected)}
}

// mayHaveRun returns the refusal of a request that may run only once and may have run.
func mayHaveRun(cause reason) *refusal {
	if cause == reasonTimeout {
		return &refusal{reason: cause, status: http.StatusGatewayTimeout}
	}
	return &refusal{reason: cause, status: http.StatusBadGateway}
}

// noRoute returns the refusal of a request that matches no route.
func noRoute() *refusal {
	return &refusal{reason: reasonNoRoute, status: http.StatusNotFound}
}

// unauthorized returns the refusal of a request whose key identifies no customer.
func unauthorized(rejected customers.Rejection) *refusal {
	return &refusal{reason: reason(rejected), status: http.StatusUnauthorized}
}

// overQuota returns the refusal of a request whose customer has spent its quota. It has no Retry-After if the
// request costs more than the quota ever allows.
func overQuota(verdict customers.Verdict) *refusal {
	return &refusal{reason: reasonOverQuota, status: http.StatusTooManyRequests, retryAfter: max(0, verdict.RetryAfter)}
}

// callerLeft returns the refusal of a request whose caller closed its connection.
func callerLeft() *refusal {
	return &refusal{reason: reasonCallerLeft, status: statusCallerLeft}
}

// The minimum Retry-After of refusals.
const (
	// retrySoon is for a cause that another box or another attempt does not run into.
	retrySoon = 50 * time.Millisecond
	// retryWhenFull is for engines that are busy for longer than the target allows.
	retryWhenFull = 150 * time.Millisecond
	// retryWhenLimited is for a limit that was reached: the request's attempts, the retry budget or this box's
	// memory.
	retryWhenLimited = 300 * time.Millisecond
	// retryWhenEvacuated is for halls that an operator has evacuated, and for regions and software versions without
	// upstreams. All last for seconds at least.
	retryWhenEvacuated = time.Second
	// retryWhenOriginUnknown is for a stream whose record may still be under way, or whose keepers do not answer.
	retryWhenOriginUnknown = 300 * time.Millisecond
	// retryWhenConfigured is for a box that has no route table yet, or an old one.
	retryWhenConfigured = 500 * time.Millisecond
)

// retryAfter returns the expected time until the cause of a refusal is gone, but at least the minimum for that
// cause.
func retryAfter(cause reason, expected time.Duration) time.Duration {
	least := retrySoon
	switch cause {
	case reasonFull:
		least = retryWhenFull
	case reasonAttempts, reasonBudget, reasonMemory:
		least = retryWhenLimited
	case reasonEvacuated, reasonRegion, reasonOtherVersion:
		least = retryWhenEvacuated
	case reasonOriginUnknown:
		least = retryWhenOriginUnknown
	case reasonNoConfig, reasonOldConfig:
		least = retryWhenConfigured
	}
	return max(least, expected)
}

// write sends the refusal to the caller. A failed write is not logged: the caller is gone, and the refusal is
// logged with its reason anyway.
func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	r.writeHead(header)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(r.reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(body))
}

// writeHead sets the headers that state how and when the caller may try again.
func (r *refusal) writeHead(header http.Header) {
	if r.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
}
