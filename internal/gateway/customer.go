package gateway

import (
	"fmt"

	"go.uber.org/zap/zapcore"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Quotas is the port to what customers may spend over all boxes. Its zero value sets no limits.
type Quotas struct {
	// Take takes a request's cost off its customer's quota in a version of the configuration. It answers within some
	// tenths of a second at worst.
	Take func(customer *customers.Customer, version int64, cost float64) customers.Verdict
	// Return gives back the cost of a request that did not run and never will.
	Return func(customer *customers.Customer, version int64, cost float64)
}

// customerOf returns the customer that a request's key names, or why it names none. A public route asks for no key, and
// takes one that it can't tell as none.
func customerOf(table *routes.Table, route *routes.Route, request *Request) (*customers.Customer, customers.Rejection) {
	customer, rejected := table.Customers.Find(request.Credential)
	if route.Public {
		return customer, customers.Accepted
	}
	return customer, rejected
}

// customerName is the name of the request's customer; empty if it has none.
func (r *inflight) customerName() string {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

// spend takes the request's cost off its customer's quota, before anything else is done for it. It returns the refusal
// of a request that is over the quota.
func (r *inflight) spend(version int64) *refusal {
	if r.customer == nil || !r.customer.Limit.Limited() || r.gateway.Quotas.Take == nil {
		return nil
	}
	r.quota = r.gateway.Quotas.Take(r.customer, version, r.cost())
	r.gateway.countCustomer(r.customer.Name, r.quota.Granted)
	if r.quota.Granted {
		return nil
	}
	return overQuota(r.quota)
}

// cost is what the request counts against its customer's limit.
func (r *inflight) cost() float64 {
	return r.customer.Limit.Cost(r.request.PromptTokens, r.request.AnswerTokens)
}

// returnCost gives back the cost of a request that no upstream ran. It is kept where that is not sure: the caller left
// during an attempt, or an attempt may have run.
func (r *inflight) returnCost(version int64) {
	if r.quota.Granted && r.attempts.mayHaveRun == 0 && r.attempts.abandoned == 0 {
		r.gateway.Quotas.Return(r.customer, version, r.cost())
	}
}

// maxCustomerNames bounds the customers that metrics name; the others are counted together. Names come from the
// configuration alone, and hundreds are planned for.
const maxCustomerNames = 500

// otherCustomers is the name of those beyond.
const otherCustomers = "others"

// countCustomer counts a request of a customer with a limit.
func (g *Gateway) countCustomer(name string, granted bool) {
	if _, named := g.customerNames.Load(name); !named {
		if g.customerCount.Add(1) > maxCustomerNames {
			name = otherCustomers
		} else {
			g.customerNames.Store(name, true)
		}
	}
	g.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_quota_requests_total{customer=%q,granted=\"%t\"}", name, granted)).Inc()
}

// quotaField is the log field of a verdict: the account that decided, what it held and when it was asked.
type quotaField customers.Verdict

// MarshalLogObject writes nothing for a request without a limit.
func (f quotaField) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	if f.Scope == "" {
		return nil
	}
	encoder.AddString("scope", string(f.Scope))
	encoder.AddFloat64("level", f.Level)
	encoder.AddFloat64("share", f.Share)
	encoder.AddDuration("age", f.Age)
	return nil
}
