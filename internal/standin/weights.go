package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

const (
	// weightStarts is how many loads the weight store begins a second: size of the users' weight store.
	weightStarts = 2
	// weightStreams is how many loads it serves at once at full speed: size of the users' weight store.
	weightStreams = 8
	// weightBurst is how many loads an idle store begins at once.
	weightBurst = 4
)

// Weights is the weight store: its rate of loads and the loads at once are limited.
type Weights struct {
	// BytesPerSecond is the speed of one load; 0 is no time at all.
	BytesPerSecond int64

	starts  *rate.Limiter
	streams chan struct{}
}

// NewWeights returns a weight store.
func NewWeights() *Weights {
	return &Weights{
		starts:  rate.NewLimiter(weightStarts, weightBurst),
		streams: make(chan struct{}, weightStreams),
	}
}

// Fetch waits for as long as a load of so many bytes takes. An error is that of ctx.
func (s *Weights) Fetch(ctx context.Context, bytes int64) error {
	if err := s.starts.Wait(ctx); err != nil {
		return err
	}
	select {
	case s.streams <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.streams }()
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
