package standin

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in of a plain HTTP service. It counts how often each request body was posted.
type Service struct {
	// Delay is the time before each answer.
	Delay time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// NewService returns a service.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// Runs returns the number of times that each request body was posted.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Handler returns a handler that answers a GET with its path, and any other method with the number of times
// that the same body was sent.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/record", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Runs())
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

// serve answers one request. It ignores a failed write of the answer: the caller has disconnected.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.Delay)
	if r.Method == http.MethodGet {
		_, _ = fmt.Fprintf(w, "content of %s\n", r.URL.Path)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The body did not arrive in full: nothing was done, and the caller has disconnected.
	}
	s.mu.Lock()
	s.runs[string(body)]++
	count := s.runs[string(body)]
	s.mu.Unlock()
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "done %s, time %d\n", body, count)
}
