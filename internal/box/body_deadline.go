package box

import (
	"io"
	"net/http"
	"time"
)

// bodyReadTimeout bounds the reading of a request's body, so that a caller cannot hold a connection by sending one
// byte now and then.
const bodyReadTimeout = 30 * time.Second

// withBodyDeadline bounds the time in which a caller must send its request. The answer may take longer.
func withBodyDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
		r.Body = &timedBody{ReadCloser: r.Body, onEOF: func() { _ = controller.SetReadDeadline(time.Time{}) }}
		next.ServeHTTP(w, r)
	})
}

// timedBody is a request's body that calls onEOF when it has been read to its end.
type timedBody struct {
	io.ReadCloser
	// onEOF removes the read deadline of the connection.
	onEOF func()
}

// Read reads from the body and calls onEOF at its end.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.onEOF()
	}
	return n, err
}
