package standin

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in of a plain HTTP service. It counts the bodies that were posted.
type Service struct {
	// Delay before each answer.
	Delay time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// NewService returns a service.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// Runs returns how often each request body was posted.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Handler serves GET with the path, and POST with a count of the same body.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/record", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Runs())
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

// serve answers one request. A failed write of the answer is ignored: the caller has gone.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.Delay)
	if r.Method == http.MethodGet {
		_, _ = fmt.Fprintf(w, "content of %s\n", r.URL.Path)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The body did not arrive whole, so nothing was done and nobody is there to answer.
	}
	s.mu.Lock()
	s.runs[string(body)]++
	count := s.runs[string(body)]
	s.mu.Unlock()
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "done %s, time %d\n", body, count)
}
