package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Serve answers a request. It returns ErrAborted if the caller's connection must be closed abnormally.
//
// A request is processed in these steps: its route, its customer, where a stream may go on that it takes up again
// (resume.go), the customer's quota (customer.go), and its deadlines. Then, for each attempt: the limits of retries
// (retry.go), the candidates (candidates.go) and the choice among them (choice.go), admission (admission.go) or provision
// of what is lacking (provision.go), the attempt (attempt.go) and its outcome (outcome.go). stream.go and plain.go pass
// the answer on.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, request *Request) error {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	table := g.firstTable(ctx)
	if table == nil {
		g.refuseUnserved(w, request, "", notRun(reasonNoConfig, 0))
		return nil
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		g.refuseUnserved(w, request, "", g.unknownRoute())
		return nil
	}
	customer, rejected := customerOf(table, route, request)
	if rejected != customers.Accepted {
		g.refuseUnserved(w, request, route.Name, unauthorized(rejected))
		return nil
	}
	service := route.PickService(xxhash.Sum64String(request.ID))
	r := newInflight(g, table, route, customer, request, g.resumptionOf(ctx, route, service, request))
	r.countResumption()
	if r.resumption.Unknown {
		r.refuse(w, notRun(reasonOriginUnknown, 0))
		return nil
	}
	if !r.deadlines.answer.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.deadlines.answer)
		defer cancel()
	}
	g.budget.addRequest(r.service)
	if refused := r.chargeQuota(table.Version); refused != nil {
		r.refuse(w, refused)
		return nil
	}
	defer r.refundQuota(table.Version)
	defer r.releaseBuffered()
	if route.Kind == routes.Stream {
		return r.serveStream(ctx, w)
	}
	return r.servePlain(ctx, w)
}

// maxConfigAge is how old this box's copy of the configuration may be for it to say that a route does not exist.
const maxConfigAge = 2 * time.Second

// unknownRoute returns the refusal of a request that matches no route. It is final only if no newer configuration may have
// the route: callers do not return after a 404.
func (g *Gateway) unknownRoute() *refusal {
	age := g.listAge()
	if age < 0 || age > maxConfigAge || g.ConfigMissing != nil && g.ConfigMissing() {
		return notRun(reasonOldConfig, 0)
	}
	return noRoute()
}

// firstTableWait is how long a request waits for the first route table of a box that has just started. After a
// power loss of all boxes, requests reach each box 0.1 to 0.2 s before its table does. When these were refused,
// 390 of them came back after as long again, and most of these were late. The wait is shorter than the shortest
// target in use.
const firstTableWait = 250 * time.Millisecond

// firstTable returns the route table in force. It waits up to firstTableWait for the first one, and returns nil if
// there is none by then or the caller has left.
func (g *Gateway) firstTable(ctx context.Context) *routes.Table {
	if table := g.table.Load(); table != nil {
		return table
	}
	waiting, cancel := context.WithTimeout(ctx, firstTableWait)
	defer cancel()
	select {
	case <-g.configured:
	case <-waiting.Done():
	}
	return g.table.Load()
}
