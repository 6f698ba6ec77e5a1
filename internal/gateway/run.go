package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// run is one request on its way.
type run struct {
	gateway *Gateway
	request *Request
	route   *routes.Route
	service string
	need    dispatch.Requirements
	// ends is when the final answer is due; zero for never.
	ends time.Time
	// patience is until when the request may wait before it is sent.
	patience time.Time
	// sends counts the sendings, arrivals those of them that reached a back end, and tries
	// those that may have run.
	sends    int
	arrivals int
	tries    int
	// avoid are the back ends that it was sent to, last the latest of them.
	avoid []string
	last  string
	// choice is what the latest sending was made by.
	choice dispatch.Choice
	// noted tells that the work was told as missed.
	noted bool
	// longestGap is the longest pause between two events, and lastEvent when the last one came.
	longestGap time.Duration
	lastEvent  time.Time
	// firstByte is when the first part of the answer was passed on.
	firstByte time.Time
}

// Serve answers a request. It returns ErrAborted if the caller's connection must be broken.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, request *Request) error {
	g.flight.Add(1)
	defer g.flight.Add(-1)
	table := g.table.Load()
	if table == nil {
		g.refuse(w, request, nil, notRun(reasonNoConfig, 0))
		return nil
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		g.refuse(w, request, nil, noRoute())
		return nil
	}
	r := g.newRun(table, route, request)
	if !r.ends.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.ends)
		defer cancel()
	}
	g.budget.request(r.service)
	if route.Kind == routes.Stream {
		return r.serveStream(ctx, w)
	}
	return r.servePlain(ctx, w)
}

const (
	// patienceShare is the part of the target that a request may wait before it is sent.
	patienceShare = 0.22
	// leastPatience holds for routes without a target.
	leastPatience = 50 * time.Millisecond
)

func (g *Gateway) newRun(table *routes.Table, route *routes.Route, request *Request) *run {
	r := &run{gateway: g, request: request, route: route}
	r.service = route.Pick(xxhash.Sum64String(request.ID))
	r.need = dispatch.Requirements{Service: r.service, Urgency: route.Priority}
	if service := table.Services[r.service]; service != nil && service.Engines != nil && request.Model != "" {
		r.need.Model, r.need.Adapter = request.Model, request.Adapter
		r.need.Blocks = dispatch.PrefixBlocks(request.Model, request.Adapter, request.Prompt)
		r.need.PromptTokens = promptTokens(request)
		r.need.AnswerTokens = request.AnswerTokens
		if request.LengthGuess > 0 {
			r.need.AnswerTokens = min(request.AnswerTokens, request.LengthGuess)
		}
		r.need.CacheTokens = service.Engines.CacheTokens
	}
	r.ends = request.Deadline
	if route.Timeout > 0 {
		if held := request.Arrived.Add(route.Timeout); r.ends.IsZero() || held.Before(r.ends) {
			r.ends = held
		}
	}
	patience := max(leastPatience, time.Duration(patienceShare*float64(route.Target)))
	r.patience = request.Arrived.Add(patience)
	return r
}

func promptTokens(request *Request) int {
	parts := 0
	for _, part := range request.Prompt {
		parts += part.Tokens
	}
	return max(parts, request.PromptTokens)
}

// send sends the request to a back end, after the bookkeeping of one attempt.
func (r *run) send(ctx context.Context, choice dispatch.Choice, lastEventID string) (*Answer, *dispatch.Ticket, error) {
	r.sends++
	r.last = choice.Upstream.ID
	r.choice = choice
	r.avoid = append(r.avoid, r.last)
	r.noteDemand(choice.Uncached)
	ticket := r.gateway.Loads.Begin(choice, r.need)
	if r.need.Model != "" {
		use := residency.AdapterUse{Upstream: r.last, Model: r.need.Model, Adapter: r.need.Adapter}
		ticket.OnEnd(r.gateway.uses.begin(use))
	}
	attempt := Attempt{Request: r.request, LastEventID: lastEventID, Urgency: r.route.Priority}
	if !r.ends.IsZero() {
		attempt.Left = time.Until(r.ends)
	}
	begun := time.Now()
	answer, err := r.gateway.Upstreams.Send(ctx, choice.Upstream.Upstream, attempt)
	r.judge(ctx, choice, answer, err, time.Since(begun))
	return answer, ticket, err
}

// judge takes note of what an attempt's answer, or lack of one, tells of the back end.
func (r *run) judge(ctx context.Context, choice dispatch.Choice, answer *Answer, err error, took time.Duration) {
	id := choice.Upstream.ID
	if err == nil {
		r.gateway.Directory.MarkReachable(id)
	}
	switch {
	case err != nil && ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return // The caller left.
	case errors.Is(err, ErrNotSent):
		r.gateway.Directory.MarkUnreachable(id)
		r.gateway.Loads.RecordOutcome(id, false)
		r.logAttempt(choice, 0, took, err)
	case err != nil:
		r.arrivals++
		r.tries++
		r.gateway.Loads.RecordOutcome(id, false)
		r.logAttempt(choice, 0, took, err)
	case answer.Elsewhere:
		r.arrivals++
		r.logAttempt(choice, answer.Status, took, nil)
		if answer.Status == http.StatusMisdirectedRequest && r.need.Model == "" {
			r.gateway.Directory.MarkMissing(id, "", "")
		} else {
			r.gateway.Directory.MarkMissing(id, r.need.Model, r.need.Adapter)
		}
	case answer.NotExecuted:
		r.arrivals++
		r.logAttempt(choice, answer.Status, took, nil)
		if r.need.Adapter != "" {
			r.gateway.Directory.MarkMissing(id, r.need.Model, r.need.Adapter)
		}
	case answer.Status >= http.StatusInternalServerError:
		r.arrivals++
		r.tries++
		r.gateway.Loads.RecordOutcome(id, false)
		r.logAttempt(choice, answer.Status, took, nil)
	default:
		r.arrivals++
		r.tries++
	}
}
