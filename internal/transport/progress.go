package transport

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Timeouts bounds how long a call may go on without receiving data, and how long it may take as a whole. A long
// answer can still arrive over a slow link, and a call to a server that sends nothing fails early.
type Timeouts struct {
	// First is the longest time until the answer begins, and Idle the longest pause within it.
	First, Idle time.Duration
	// Whole is the longest time until the answer ends.
	Whole time.Duration
}

// Call does what Sender.Call does, within these bounds. A call that exceeds one fails with the context's error.
func (t Timeouts) Call(send Sender, request *http.Request, maxBytes int64) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(request.Context(), t.Whole)
	defer cancel()
	stalled := time.AfterFunc(t.First, cancel)
	defer stalled.Stop()
	return send.withBody(func(body io.Reader) io.Reader {
		stalled.Reset(t.Idle)
		return progressReader{Reader: body, onData: func() { stalled.Reset(t.Idle) }}
	}).Call(request.WithContext(ctx), maxBytes)
}

// withBody returns a sender whose response bodies are read through the reader that wrap returns.
func (send Sender) withBody(wrap func(io.Reader) io.Reader) Sender {
	return func(request *http.Request) (*http.Response, error) {
		response, err := send(request)
		if err != nil {
			return nil, err
		}
		response.Body = wrappedBody{Reader: wrap(response.Body), Closer: response.Body}
		return response, nil
	}
}

// wrappedBody reads through a wrapping reader and closes the wrapped body.
type wrappedBody struct {
	io.Reader
	io.Closer
}

// progressReader calls onData after each read that returned data.
type progressReader struct {
	io.Reader
	onData func()
}

// Read reads from the wrapped reader, and calls onData if it returned data.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onData()
	}
	return n, err
}
