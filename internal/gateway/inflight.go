package gateway

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// inflight is a request in flight, from its route to its final answer. A single goroutine uses it. It has 26
// fields because it holds all that the box knows about one request.
type inflight struct {
	gateway *Gateway
	request *Request
	route   *routes.Route
	// service is the one of the route's services that all attempts go to.
	service string
	// customer is the customer that the request is run for; nil if it has none.
	customer *customers.Customer
	// quota is the verdict on the request's cost, if the customer has a limit.
	quota customers.Verdict
	need  dispatch.Requirements
	// model describes the model that the request asks for; nil if the configuration does not describe it.
	model     *routes.Model
	deadlines deadlines
	attempts  attempts
	timing    timing
	// unservedDemandReported is set once the demand of a request that no engine could take has been reported.
	unservedDemandReported bool
	// lastChoice is the latest choice of an upstream, for the log. Admission may have refused it.
	lastChoice dispatch.Choice
	// reservation and sentAt belong to the latest choice, for the log.
	reservation reservationResult
	sentAt      time.Time
	// sending is what this box knew when it sent the request for the last time; nil if it did not.
	sending *sending
	// delay is how long after the reservation the engine was to begin with the prompt, by its keeper.
	delay time.Duration
	// reservedEngine is the engine of the reservation whose end was not reported yet; empty if there is none.
	reservedEngine string
	// throttledUpstreams holds the upstreams that may not get the request now, as of the latest call of candidates.
	throttledUpstreams throttledUpstreams
	// endpoint is the chosen upstream, as returned by the directory for the next send.
	endpoint *fleet.Endpoint
	// writingSince is when the first event of the latest attempt arrived; zero if none did.
	writingSince time.Time
	// crashHistory holds what this box knows about upstreams that crashed under the request.
	crashHistory crashHistory
	// parts holds what this box knows about upstreams that crashed under shared parts of the prompt.
	parts partHistory
	// rate holds the service's settings for cold engines and the request's rate grants.
	rate rateState
	// place is the request's place at an upstream of a plain service.
	place placeState
	// bufferedBytes is the number of bytes of answers that the request holds of the box's memory budget.
	bufferedBytes int64
	// resumption is where the stream may go on, if the request resumes one or has passed on an event.
	resumption resumption
	// regionBound is set if only upstreams in some regions may serve the request.
	regionBound bool
}

func newInflight(g *Gateway, table *routes.Table, route *routes.Route, customer *customers.Customer, request *Request, resumed resumption) *inflight {
	service := resumed.Service
	need := requirements(table.Services[service], route, request, service)
	if customer != nil && customer.Urgency != nil {
		need.Urgency = max(0, *customer.Urgency)
	}
	r := &inflight{
		gateway:     g,
		request:     request,
		route:       route,
		service:     service,
		customer:    customer,
		resumption:  resumed,
		regionBound: isRegionBound(route, customer),
		need:        need,
		model:       describedModel(table.Services[service], request.Model),
		deadlines:   newDeadlines(route, request),
	}
	if described := table.Services[service]; described != nil {
		r.rate.coldStart, r.rate.coldPerSecond = described.ColdStart, described.ColdPerSecond
	}
	return r
}

// describedModel returns a service's description of a model, or nil if it has none.
func describedModel(service *routes.Service, model string) *routes.Model {
	if service == nil {
		return nil
	}
	return service.Model(model)
}

// requirements returns what the request needs of an upstream. Only a service of engines needs a model; service is
// nil if the table does not describe it.
func requirements(service *routes.Service, route *routes.Route, request *Request, name string) dispatch.Requirements {
	need := dispatch.Requirements{Service: name, Urgency: route.Urgency}
	if service == nil || service.Engines == nil || request.Model == "" {
		return need
	}
	need.Model, need.Adapter = request.Model, request.Adapter
	need.Blocks = dispatch.PrefixBlocks(request.Model, request.Adapter, request.Prompt)
	need.PromptTokens = promptTokens(request)
	need.AnswerTokens = request.AnswerTokens
	if request.LengthGuess > 0 {
		need.AnswerTokens = min(request.AnswerTokens, request.LengthGuess)
	}
	need.CacheTokens = service.Engines.CacheTokens
	need.GapTarget = route.GapTarget
	need.EventTokens = service.Engines.EventTokens
	return need
}

// promptTokens returns the larger of the two sizes that a caller states: that of the whole prompt and the sum of
// its parts.
func promptTokens(request *Request) int {
	parts := 0
	for _, part := range request.Prompt {
		parts += part.Tokens
	}
	return max(parts, request.PromptTokens)
}

// attempts describes the attempts of a request so far.
type attempts struct {
	// sent counts all attempts.
	sent int
	// reached counts the attempts that an upstream received.
	reached int
	// mayHaveRun counts the attempts that an upstream received and did not reject.
	mayHaveRun int
	// abandoned counts the attempts during which the caller left, before it was known whether an upstream received
	// them.
	abandoned int
	// unreached counts the upstreams to which this box's own links had no connection.
	unreached int
	// tunnelled is set if the latest attempt went through a tunnel.
	tunnelled bool
	// upstreams holds the ids of the upstreams that the request was sent to.
	upstreams []string
	// eventVersions holds the software versions of the upstreams whose events were passed on, without repeats in a row.
	eventVersions []string
}

// recordEventVersion records the software version of an upstream whose events are passed on.
func (a *attempts) recordEventVersion(version string) {
	if len(a.eventVersions) == 0 || a.eventVersions[len(a.eventVersions)-1] != version {
		a.eventVersions = append(a.eventVersions, version)
	}
}

// begin counts one more attempt.
func (a *attempts) begin(choice dispatch.Choice) {
	a.sent++
	a.upstreams = append(a.upstreams, choice.Upstream.ID)
}

// latestUpstream returns the id of the upstream that the request was sent to last; empty if there is none.
func (a *attempts) latestUpstream() string {
	if len(a.upstreams) == 0 {
		return ""
	}
	return a.upstreams[len(a.upstreams)-1]
}

// timing records when the parts of a streamed answer were passed on, for the log.
type timing struct {
	// firstByte is when the head was passed on; zero for answers that are not streamed.
	firstByte time.Time
	// lastEvent is when the latest event was passed on.
	lastEvent time.Time
	// longestGap is the longest pause between two events.
	longestGap time.Duration
}

// recordEvent records that an event was passed on just now.
func (t *timing) recordEvent() {
	now := time.Now()
	if !t.lastEvent.IsZero() {
		t.longestGap = max(t.longestGap, now.Sub(t.lastEvent))
	}
	t.lastEvent = now
}
