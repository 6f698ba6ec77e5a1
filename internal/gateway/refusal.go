package gateway

import (
	"net/http"
	"strconv"
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
)

// reason is why a request gets no answer from an upstream. Logs and metrics carry it.
type reason string

// The reasons. The comment beside each is the state that it stands for.
const (
	// reasonNoConfig: this box has no route table yet.
	reasonNoConfig reason = "no configuration yet"
	// reasonNoRoute: the route table has no route for the host and path.
	reasonNoRoute reason = "no route"
	// reasonNoUpstream: the service has no usable upstream that was not tried yet.
	reasonNoUpstream reason = "no back end"
	// reasonNoModel: no usable engine holds the model.
	reasonNoModel reason = "model not loaded"
	// reasonNoAdapter: engines hold the model, but none of them the adapter.
	reasonNoAdapter reason = "adapter not loaded"
	// reasonUnreachable: the engines that hold all that is needed were unreachable a moment ago.
	reasonUnreachable reason = "back ends that have it do not answer"
	// reasonResting: the upstreams that have all that is needed asked this box for rest.
	reasonResting reason = "back ends want rest"
	// reasonCold: the engines that have all that is needed are cold, and get as much as they bear.
	reasonCold reason = "back ends are cold"
	// reasonLimited: the upstreams that have all that is needed name limits, and get as much as they take.
	reasonLimited reason = "back ends limit requests"
	// reasonRegion: no upstream of the service is in a region where the request may be served.
	reasonRegion reason = "no back end in an allowed region"
	// reasonEvacuated: all upstreams of the service that are left are in evacuated halls.
	reasonEvacuated reason = "halls evacuated"
	// reasonFull: the predicted wait at the best engine is over the limit of admission.
	reasonFull reason = "back ends full"
	// reasonBroken: an attempt may have run, and its answer was lost or broken.
	reasonBroken reason = "answer broken"
	// reasonNotAccepted: the latest attempt was not executed by its upstream.
	reasonNotAccepted reason = "not executed"
	// reasonAttempts: the request has no attempt left.
	reasonAttempts reason = "attempts used up"
	// reasonBudget: this box's share of the service's retries is spent.
	reasonBudget reason = "retry budget used up"
	// reasonTimeout: the deadline of the request passed.
	reasonTimeout reason = "time is over"
	// reasonCallerLeft: the caller closed its connection.
	reasonCallerLeft reason = "caller left"
	// reasonOverQuota: the customer's quota over all boxes is spent.
	reasonOverQuota reason = "over quota"
	// reasonCrashes: upstreams crashed under the request one after the other, at whatever box it came.
	reasonCrashes reason = "upstreams crash under it"
	// reasonMemory: this box holds as much for callers as it may.
	reasonMemory reason = "box holds too much"
	// reasonStopping: this box drains.
	reasonStopping reason = "machine stops"
)

// refusal is a final answer of the gateway itself.
//
//	what is known                     status  Retry-After
//	no upstream ran the request       503     retryAfter
//	the host and path have no route   404     none
//	it may have run, deadline passed  504     none
//	it may have run, any other cause  502     none
//	no key, or one of no customer     401     none
//	the customer's quota is spent     429     until it is not
//	the caller left                   499     nothing is written; the status is only logged
//
// A request that may run any number of times counts as one that no upstream ran.
type refusal struct {
	reason reason
	status int
	// retryAfter is when the caller may send the request again; 0 if nothing is promised.
	retryAfter time.Duration
}

// statusCallerLeft is the customary status in logs for a caller that closed its connection.
const statusCallerLeft = 499

// notRun is the refusal of a request that no upstream ran. The cause is expected to be gone after
// expected; 0 if nothing is known of that.
func notRun(cause reason, expected time.Duration) *refusal {
	return &refusal{reason: cause, status: http.StatusServiceUnavailable, retryAfter: retryAfter(cause, expected)}
}

// mayHaveRun is the refusal of a request that may run only once and may have run.
func mayHaveRun(cause reason) *refusal {
	if cause == reasonTimeout {
		return &refusal{reason: cause, status: http.StatusGatewayTimeout}
	}
	return &refusal{reason: cause, status: http.StatusBadGateway}
}

// noRoute is the refusal of a request that the route table does not know.
func noRoute() *refusal {
	return &refusal{reason: reasonNoRoute, status: http.StatusNotFound}
}

// unauthorized is the refusal of a request whose key names no customer.
func unauthorized(rejected customers.Rejection) *refusal {
	return &refusal{reason: reason(rejected), status: http.StatusUnauthorized}
}

// overQuota is the refusal of a request whose customer has spent its quota. It has no retry-after if the request is too
// dear at any time.
func overQuota(verdict customers.Verdict) *refusal {
	return &refusal{reason: reasonOverQuota, status: http.StatusTooManyRequests, retryAfter: max(0, verdict.RetryAfter)}
}

// callerLeft ends a request whose caller closed its connection.
func callerLeft() *refusal {
	return &refusal{reason: reasonCallerLeft, status: statusCallerLeft}
}

// The least retry-after of refusals.
const (
	// retrySoon is for a cause that another box or another attempt does not meet.
	retrySoon = 50 * time.Millisecond
	// retryWhenFull is for engines that are busy for longer than the target allows.
	retryWhenFull = 150 * time.Millisecond
	// retryWhenLimited is for upstreams that turned the request down until no attempt was left.
	retryWhenLimited = 300 * time.Millisecond
	// retryWhenEvacuated is for halls that an operator has evacuated and regions without upstreams, which last seconds at least.
	retryWhenEvacuated = time.Second
	// retryWhenConfigured is for a box that has just started.
	retryWhenConfigured = 500 * time.Millisecond
)

// retryAfter is the expected time until the cause of a refusal is gone, but at least the time that
// its cause has in this table.
func retryAfter(cause reason, expected time.Duration) time.Duration {
	least := retrySoon
	switch cause {
	case reasonFull:
		least = retryWhenFull
	case reasonAttempts, reasonBudget, reasonMemory:
		least = retryWhenLimited
	case reasonEvacuated, reasonRegion:
		least = retryWhenEvacuated
	case reasonNoConfig:
		least = retryWhenConfigured
	}
	return max(least, expected)
}

// write sends the answer. A write that fails needs no log line: the caller is gone, and the refusal
// is logged with its reason anyway.
func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	r.writeHead(header)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(r.reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(body))
}

// writeHead sets what tells the caller how to come again.
func (r *refusal) writeHead(header http.Header) {
	if r.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
}
