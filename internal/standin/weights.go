package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

const (
	// loadsPerSecond is how many loads the weight store starts a second, as the users' weight store does.
	loadsPerSecond = 2
	// maxConcurrentLoads is how many loads it serves at once at full speed, as the users' weight store does.
	maxConcurrentLoads = 8
	// loadBurst is how many loads an idle store starts at once.
	loadBurst = 4
)

// Weights is the weight store. It limits the rate of loads and the number of concurrent loads.
type Weights struct {
	// BytesPerSecond is the speed of one load; 0 means that the transfer takes no time.
	BytesPerSecond int64

	limiter *rate.Limiter
	slots   chan struct{}
}

// NewWeights returns a weight store.
func NewWeights() *Weights {
	return &Weights{
		limiter: rate.NewLimiter(loadsPerSecond, loadBurst),
		slots:   make(chan struct{}, maxConcurrentLoads),
	}
}

// Fetch blocks for as long as a load of the given size takes. It fails only if ctx ends, or would end
// before the load may start.
func (s *Weights) Fetch(ctx context.Context, bytes int64) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.slots }()
	if s.BytesPerSecond == 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration(float64(bytes) / float64(s.BytesPerSecond) * float64(time.Second))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Weights) serve(w http.ResponseWriter, r *http.Request) {
	bytes, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil {
		http.Error(w, "bytes is a number", http.StatusBadRequest)
		return
	}
	if err := s.Fetch(r.Context(), bytes); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
