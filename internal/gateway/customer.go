package gateway

import (
	"fmt"

	"go.uber.org/zap/zapcore"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Quotas is the interface to the quotas of customers over all boxes. The zero value sets no limits.
type Quotas struct {
	// Take charges a request's cost, in its class, to its customer's quota, as of a version of the configuration. It
	// answers within some tenths of a second at worst.
	Take func(customer *customers.Customer, version int64, class customers.Class, cost float64) customers.Verdict
	// Return refunds the cost of a request that did not run and never will.
	Return func(customer *customers.Customer, version int64, cost float64)
}

// customerOf returns the customer that the request's key identifies, or why it identifies none. A public route
// needs no key, and treats a key that it cannot identify as no key.
func customerOf(table *routes.Table, route *routes.Route, request *Request) (*customers.Customer, customers.Rejection) {
	customer, rejected := table.Customers.Find(request.Credential)
	if route.Public {
		return customer, customers.Accepted
	}
	return customer, rejected
}

// customerName returns the name of the request's customer; empty if it has none.
func (r *inflight) customerName() string {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

// chargeQuota charges the request's cost to its customer's quota before any other work for the request. It returns
// a refusal if the request exceeds the quota, and nil otherwise.
func (r *inflight) chargeQuota(version int64) *refusal {
	if r.customer == nil || !r.customer.Limit.Limited() || r.gateway.Quotas.Take == nil {
		return nil
	}
	class := r.quotaClass()
	r.quota = r.gateway.Quotas.Take(r.customer, version, class, r.cost())
	r.gateway.countCustomer(r.customer.Name, r.quota.Granted)
	r.gateway.countClass(class, r.quota.Granted)
	if r.quota.Granted {
		return nil
	}
	return overQuota(r.quota)
}

// quotaClass returns the class by which the customer's quota is spent. Its urgency is the route's: that of the
// customer ranks it among other customers, and is the same for all its requests.
func (r *inflight) quotaClass() customers.Class {
	return customers.Class{Service: r.service, Urgency: max(0, r.route.Urgency)}
}

// cost returns the request's cost, in the unit of its customer's limit.
func (r *inflight) cost() float64 {
	return r.customer.Limit.Cost(r.request.PromptTokens, r.request.AnswerTokens)
}

// refundQuota refunds the cost of a request that no upstream ran. It does not where that is uncertain: the caller
// left during an attempt, or an attempt may have run.
func (r *inflight) refundQuota(version int64) {
	if r.quota.Granted && r.attempts.mayHaveRun == 0 && r.attempts.abandoned == 0 {
		r.gateway.Quotas.Return(r.customer, version, r.cost())
	}
}

// maxCustomerNames is the number of customers that get a metric label of their own; the others are counted
// together. Names come from the configuration alone, where hundreds of customers are expected.
const maxCustomerNames = 500

// otherCustomers is the metric label for customers beyond maxCustomerNames.
const otherCustomers = "others"

// countCustomer counts a request of a customer that has a limit.
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

// maxUrgencyLabel is the urgency from which on requests are counted together in the metric by class. Configurations
// use a handful of urgencies.
const maxUrgencyLabel = 10

// countClass counts a request of a customer that has a limit by its class. Services come from the configuration alone.
func (g *Gateway) countClass(class customers.Class, granted bool) {
	g.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_quota_class_requests_total{service=%q,urgency=\"%d\",granted=\"%t\"}",
		class.Service, min(class.Urgency, maxUrgencyLabel), granted)).Inc()
}

// quotaField is the log field of a quota verdict: which account decided, its level, the threshold of the request's
// class, the account's share, and how old that knowledge is.
type quotaField customers.Verdict

// MarshalLogObject writes nothing for a request without a limit.
func (f quotaField) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	if f.Scope == "" {
		return nil
	}
	encoder.AddString("scope", string(f.Scope))
	encoder.AddFloat64("level", f.Level)
	encoder.AddFloat64("threshold", f.Threshold)
	encoder.AddFloat64("share", f.Share)
	encoder.AddDuration("age", f.Age)
	return nil
}
