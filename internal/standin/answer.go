package standin

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// answer returns a handler that decodes a call's JSON, makes the call and encodes its result.
func answer[Q any](do func(*http.Request, Q) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := do(r, q)
		if err != nil {
			http.Error(w, errors.Details(err), http.StatusInternalServerError)
			return
		}
		writeJSON(w, result)
	}
}

// writeJSON answers with a value. A failed write is not reported: the caller has gone, and all
// values that stand-ins answer with can be encoded.
func writeJSON(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }

// flush sends what was written so far. It fails only if the caller has gone.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// LoseAnswer has a call done, drops its answer and breaks the connection. It does not return.
func LoseAnswer(handler http.HandlerFunc, r *http.Request) {
	handler(discardWriter{header: http.Header{}}, r)
	panic(http.ErrAbortHandler)
}

// discardWriter drops an answer.
type discardWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write drops the bytes.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (discardWriter) WriteHeader(int) {}
