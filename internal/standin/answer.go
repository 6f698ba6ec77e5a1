package standin

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// handleJSON returns a handler that decodes the JSON body of a call, passes it to do and answers with the result
// as JSON.
func handleJSON[Q any](do func(*http.Request, Q) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := do(r, request)
		if err != nil {
			http.Error(w, errors.Details(err), http.StatusInternalServerError)
			return
		}
		writeJSON(w, result)
	}
}

// writeJSON answers with a value as JSON. It ignores the error: all values that stand-ins answer with can be
// encoded, so a write fails only if the caller has disconnected.
func writeJSON(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }

// flush sends what was written so far. It ignores the error, which occurs only if the caller has disconnected.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// LoseAnswer executes a call, drops its answer and closes the connection. It panics with
// http.ErrAbortHandler and does not return.
func LoseAnswer(handler http.HandlerFunc, r *http.Request) {
	Unanswered(handler, r)
	panic(http.ErrAbortHandler)
}

// Unanswered has a handler serve a call and drops the answer.
func Unanswered(handler http.HandlerFunc, r *http.Request) {
	handler(discardWriter{header: http.Header{}}, r)
}

// discardWriter is a ResponseWriter that drops the answer.
type discardWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write drops the bytes.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (discardWriter) WriteHeader(int) {}
