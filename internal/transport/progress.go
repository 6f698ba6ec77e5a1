package transport

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Progress bounds a call by the time in which nothing of its answer arrives, so that a long answer arrives over
// a slow link and a silent sender is given up as soon as ever.
type Progress struct {
	// First is the longest time until the answer begins, and Idle the longest pause in it.
	First, Idle time.Duration
	// Whole is the longest time until its end.
	Whole time.Duration
}

// Call is Sender.Call within these bounds. A call that goes beyond them fails with the context's error.
func (p Progress) Call(send Sender, request *http.Request, maxBytes int64) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(request.Context(), p.Whole)
	defer cancel()
	stalled := time.AfterFunc(p.First, cancel)
	defer stalled.Stop()
	return send.withBody(func(body io.Reader) io.Reader {
		stalled.Reset(p.Idle)
		return progressReader{Reader: body, noted: func() { stalled.Reset(p.Idle) }}
	}).Call(request.WithContext(ctx), maxBytes)
}

// withBody is a sender whose answers are read through what wrap returns.
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

// wrappedBody reads through another reader than it closes.
type wrappedBody struct {
	io.Reader
	io.Closer
}

// progressReader notes each read that brings something.
type progressReader struct {
	io.Reader
	noted func()
}

// Read reads and notes it.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.noted()
	}
	return n, err
}
