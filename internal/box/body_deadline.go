package box

import (
	"io"
	"net/http"
	"time"
)

// bodyTime bounds the reading of a request's body: a caller may not hold a connection by
// sending one byte now and then.
const bodyTime = 30 * time.Second

// withBodyDeadline bounds the time in which callers send their requests; answers may take longer.
func withBodyDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now().Add(bodyTime))
		r.Body = &timedBody{ReadCloser: r.Body, read: func() { _ = controller.SetReadDeadline(time.Time{}) }}
		next.ServeHTTP(w, r)
	})
}

// timedBody lifts the deadline when the body is read to its end.
type timedBody struct {
	io.ReadCloser
	// read runs at the end of the body.
	read func()
}

// Read reads the next piece.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.read()
	}
	return n, err
}
