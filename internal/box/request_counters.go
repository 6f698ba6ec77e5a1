package box

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/burn"
)

// requestCounters counts what became of callers' requests, in the metrics and for the burn report.
type requestCounters struct {
	burn *burn.Recorder
	set  *metrics.Set
}

// servedModel counts a whole answer of a model against the model's targets.
func (c *requestCounters) servedModel(r *modelRequest, d *delivery) {
	result := burn.WithinTarget
	if d.firstToken() > durationOf(r.model.FirstToken) || d.betweenTokens() > durationOf(r.model.BetweenTokens) {
		result = burn.Late
	}
	customer := r.caller.bundle.Customer
	c.burn.Count(customer, r.model.Name, r.model.Objective, result, "")
	labels := fmt.Sprintf("{customer=%q,model=%q}", customer, r.model.Name)
	c.set.GetOrCreateHistogram("ospreymoor_first_token_seconds" + labels).Update(d.firstToken().Seconds())
	c.set.GetOrCreateHistogram("ospreymoor_between_tokens_seconds" + labels).Update(d.betweenTokens().Seconds())
	c.set.GetOrCreateCounter("ospreymoor_served_total" + labels).Inc()
	c.set.GetOrCreateCounter("ospreymoor_pieces_total" + labels).Add(int(d.next))
}

// servedCall counts a whole answer of a plain service; calls have no targets but their timeout.
func (c *requestCounters) servedCall(call *serviceCall) {
	c.burn.Count(call.caller.bundle.Customer, call.service.Name, bundle.DefaultObjective, burn.WithinTarget, "")
}

// refusedModel counts a request on a model without a whole answer; r is nil if the caller is not known.
func (c *requestCounters) refusedModel(r *modelRequest, refused *refusal) {
	if r == nil {
		c.refused("", refused)
		return
	}
	c.withoutAnswer(r.caller.bundle.Customer, r.model.Name, r.model.Objective, refused)
}

// refusedCall counts a call without a whole answer; call is nil if the caller is not known.
func (c *requestCounters) refusedCall(call *serviceCall, refused *refusal) {
	if call == nil {
		c.refused("", refused)
		return
	}
	c.withoutAnswer(call.caller.bundle.Customer, call.service.Name, bundle.DefaultObjective, refused)
}

// withoutAnswer counts a request of a known caller; for the burn report only if it was not the caller's own fault.
func (c *requestCounters) withoutAnswer(customer, name string, objective float64, refused *refusal) {
	result := burn.Refused
	if refused.outcome == ospreymoorv1.Outcome_OUTCOME_UNKNOWN {
		result = burn.Failed
	}
	if !refused.callersFault() {
		c.burn.Count(customer, name, objective, result, refused.reason)
	}
	c.refused(customer, refused)
}

// refused counts a refusal in the metrics.
func (c *requestCounters) refused(customer string, refused *refusal) {
	outcome := "not run"
	if refused.outcome == ospreymoorv1.Outcome_OUTCOME_UNKNOWN {
		outcome = "unknown"
	}
	name := fmt.Sprintf("ospreymoor_refused_total{customer=%q,outcome=%q,reason=%q}", customer, outcome, refused.reason)
	c.set.GetOrCreateCounter(name).Inc()
}
