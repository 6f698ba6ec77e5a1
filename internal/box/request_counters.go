package box

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/burn"
)

// requestCounters counts how callers' requests ended, in the metrics and for the burn report.
type requestCounters struct {
	burn *burn.Recorder
	set  *metrics.Set
}

// countModelAnswer counts a whole answer of a model, and whether it met the model's latency targets.
func (c *requestCounters) countModelAnswer(r *modelRequest, d *delivery) {
	result := burn.WithinTarget
	if d.timeToFirstPiece() > durationOf(r.model.FirstToken) || d.meanPieceInterval() > durationOf(r.model.BetweenTokens) {
		result = burn.Late
	}
	customer := r.caller.bundle.Customer
	c.burn.Count(customer, r.model.Name, r.model.Objective, result, "")
	labels := fmt.Sprintf("{customer=%q,model=%q}", customer, r.model.Name)
	c.set.GetOrCreateHistogram("ospreymoor_first_token_seconds" + labels).Update(d.timeToFirstPiece().Seconds())
	c.set.GetOrCreateHistogram("ospreymoor_between_tokens_seconds" + labels).Update(d.meanPieceInterval().Seconds())
	c.set.GetOrCreateCounter("ospreymoor_served_total" + labels).Inc()
	c.set.GetOrCreateCounter("ospreymoor_pieces_total" + labels).Add(int(d.nextIndex))
}

// countServiceAnswer counts a whole answer of a plain service. These have no latency target besides their timeout.
func (c *requestCounters) countServiceAnswer(call *serviceCall) {
	c.burn.Count(call.caller.bundle.Customer, call.service.Name, bundle.DefaultObjective, burn.WithinTarget, "")
}

// countModelRefusal counts a request on a model that got no whole answer. r is nil if the caller is not known.
func (c *requestCounters) countModelRefusal(r *modelRequest, refused *refusal) {
	if r == nil {
		c.countRefusalMetric("", refused)
		return
	}
	c.countRefusal(r.caller.bundle.Customer, r.model.Name, r.model.Objective, refused)
}

// countServiceRefusal counts a call of a plain service that got no whole answer. call is nil if the caller is not
// known.
func (c *requestCounters) countServiceRefusal(call *serviceCall, refused *refusal) {
	if call == nil {
		c.countRefusalMetric("", refused)
		return
	}
	c.countRefusal(call.caller.bundle.Customer, call.service.Name, bundle.DefaultObjective, refused)
}

// countRefusal counts a refused request of a known caller. The burn report counts it only if the caller did not cause
// it.
func (c *requestCounters) countRefusal(customer, name string, objective float64, refused *refusal) {
	result := burn.Refused
	if refused.outcome == ospreymoorv1.Outcome_OUTCOME_UNKNOWN {
		result = burn.Failed
	}
	if !refused.isCallerError() {
		c.burn.Count(customer, name, objective, result, refused.reason)
	}
	c.countRefusalMetric(customer, refused)
}

// countRefusalMetric counts a refusal in the metrics.
func (c *requestCounters) countRefusalMetric(customer string, refused *refusal) {
	outcome := "not run"
	if refused.outcome == ospreymoorv1.Outcome_OUTCOME_UNKNOWN {
		outcome = "unknown"
	}
	name := fmt.Sprintf("ospreymoor_refused_total{customer=%q,outcome=%q,reason=%q}", customer, outcome, refused.reason)
	c.set.GetOrCreateCounter(name).Inc()
}
