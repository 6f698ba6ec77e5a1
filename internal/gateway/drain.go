package gateway

import (
	"context"
	"net/http"
	"time"
)

// The phases of a drain, counted from the announcement of the stop. The box is not ready from then on
// (Node.Ready). If the grace time is short, Drain ends the first phase after a quarter of it and the
// second one after a half.
const (
	// balancerDelay is how long the balancer may take to notice that a box is not ready. Until then
	// connections are kept as usual; after it, each ends with its next answer.
	balancerDelay = 2 * time.Second
	// acceptTime is how long requests are still accepted: a later one might not end within the grace
	// time.
	acceptTime = 2800 * time.Millisecond
	// drainMargin is kept free at the end of the grace time, for the rest of the process to stop.
	drainMargin = 300 * time.Millisecond
)

// Drain accepts requests until the balancer has noticed that this box leaves, then ends connections
// with their next answer, and returns when all requests are answered or the grace time is over. The
// requests that are under way then are cut off.
func (f *Front) Drain(grace time.Duration) {
	begun := time.Now()
	time.Sleep(min(balancerDelay, grace/4))
	f.closing.Store(true)
	time.Sleep(min(acceptTime, grace/2) - time.Since(begun))
	f.refusing.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-drainMargin))
	defer cancel()
	if f.Server.Shutdown(ctx) != nil {
		// The caller logs how many requests are cut off, so the errors need no line.
		_ = f.Server.Close()
	}
}

// drainable has a handler's connections end, and its requests be refused, by the phase of the drain.
func (f *Front) drainable(next http.Handler) http.Handler {
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
