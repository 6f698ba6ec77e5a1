package gateway

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// send sends the request once to the chosen upstream and records the outcome, as far as the head of the answer
// shows it. The caller must end the ticket.
func (r *inflight) send(ctx context.Context, choice dispatch.Choice, lastEventID string) (*Answer, *dispatch.Ticket, error) {
	r.attempts.begin(choice)
	r.writingSince, r.parts.answered = time.Time{}, false
	r.reportDemand(choice.Uncached)
	ticket := r.beginLoad(choice)
	attempt := Attempt{Request: r.request, LastEventID: lastEventID, Urgency: r.need.Urgency, Customer: r.customerName()}
	r.logSentAgainstNotice(choice)
	begun := time.Now()
	answer, ticket, err := r.deliver(ctx, choice, attempt, ticket)
	r.endpoint.End()
	if err == nil {
		r.gateway.confirmEnd(ctx, answer, *choice.Upstream.Upstream)
	}
	r.recordOutcome(ctx, choice, answer, err, time.Since(begun))
	return answer, ticket, err
}

// beginLoad counts the request towards the load of the upstream and as a use of its model and adapter.
func (r *inflight) beginLoad(choice dispatch.Choice) *dispatch.Ticket {
	ticket := r.gateway.Loads.Begin(choice, r.need)
	if r.need.Model != "" {
		use := residency.ModelUse{Upstream: choice.Upstream.ID, Model: r.need.Model, Adapter: r.need.Adapter}
		ticket.OnEnd(r.gateway.uses.begin(use))
	}
	return ticket
}
