package gateway

import (
	"context"
	"net/http"
	"time"
)

// The phases of a drain, measured from the announcement of the stop. From then on the box reports itself as not
// ready (Node.Ready). If the grace time is short, Drain ends the first phase after a quarter of it and the second
// one after a half.
const (
	// balancerDelay is how long the load balancer may take to notice that a box is not ready. Until then
	// connections are kept alive as usual; after it, each is closed with its next answer.
	balancerDelay = 2 * time.Second
	// acceptTime is how long requests are still accepted. A later one might not end within the grace time.
	acceptTime = 2800 * time.Millisecond
	// DrainMargin is the part at the end of the grace time that is left for the rest of the process to stop.
	DrainMargin = 300 * time.Millisecond
)

// Drain accepts requests until the load balancer has noticed that this box is leaving, then closes connections
// with their next answer, and then refuses requests and sends only those on that end within the grace time. It returns
// when all requests are answered, or DrainMargin before the end of the grace time. Requests that are still in flight then
// go on until Finish ends them.
func (f *Front) Drain(grace time.Duration) {
	begun := time.Now()
	time.Sleep(min(balancerDelay, grace/4))
	f.closing.Store(true)
	time.Sleep(min(acceptTime, grace/2) - time.Since(begun))
	end := begun.Add(grace - DrainMargin)
	f.refusing.Store(true)
	f.gateway.StopSending(end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	_ = f.Server.Shutdown(ctx) // It fails if requests are still in flight, for which Finish waits.
}

// Finish waits until the requests that were in flight at the end of Drain are answered. The platform may end the process
// from the end of the grace time on, and does not have to: a request that outlasts the grace time goes on until then, and
// is cut off here only after another grace time.
func (f *Front) Finish(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), DrainMargin+grace)
	defer cancel()
	if f.Server.Shutdown(ctx) != nil {
		// The error is not logged: the caller logs how many requests are cut off.
		_ = f.Server.Close()
	}
}

// withDrain wraps a handler so that connections are closed and requests are refused according to the phase of the
// drain.
func (f *Front) withDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		if f.refusing.Load() {
			notRun(reasonStopping, 0).write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
