package gateway

import (
	"context"
	"net/http"
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Serve answers a request. It returns ErrAborted if the caller's connection must be broken.
//
// The way of a request: its route, its customer and the customer's quota (customer.go), its deadlines, and then attempt after attempt the limits of retries
// (retry.go), the candidates (candidates.go) and the choice among them (choice.go), admission
// (admission.go) or provision of what is lacking (provision.go), the attempt (attempt.go) and its
// outcome (outcome.go). stream.go and plain.go pass the answer on.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, request *Request) error {
	g.flight.Add(1)
	defer g.flight.Add(-1)
	table := g.firstTable(ctx)
	if table == nil {
		g.refuseUnserved(w, request, "", notRun(reasonNoConfig, 0))
		return nil
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		g.refuseUnserved(w, request, "", noRoute())
		return nil
	}
	customer, rejected := customerOf(table, route, request)
	if rejected != customers.Accepted {
		g.refuseUnserved(w, request, route.Name, unauthorized(rejected))
		return nil
	}
	r := newInflight(g, table, route, customer, request)
	if !r.deadlines.answer.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.deadlines.answer)
		defer cancel()
	}
	g.budget.noteRequest(r.service)
	if refused := r.spend(table.Version); refused != nil {
		r.refuse(w, refused)
		return nil
	}
	defer r.returnCost(table.Version)
	defer r.releaseHeld()
	if route.Kind == routes.Stream {
		return r.serveStream(ctx, w)
	}
	return r.servePlain(ctx, w)
}

// firstTableWait is how long a request waits for the configuration of a box that has just started. After all boxes lost
// power, requests reach each one 0.1 to 0.2 s before it has its configuration: refused, 390 of them came back after as long
// again, most of them late. It is less than the shortest target in use.
const firstTableWait = 250 * time.Millisecond

// firstTable returns the configuration in force. It waits a while for the first one, and returns nil if there is none by
// then or the caller has left.
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
