package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/juju/errors"
)

// ErrNotSent marks the error of a request of which no byte was written.
const ErrNotSent = errors.ConstError("not sent")

// Sender sends a request over a transport that New returned. It is http.Client.Do, or
// http.Transport.RoundTrip, which follows no redirects.
type Sender func(*http.Request) (*http.Response, error)

// Send sends a request. The error is of type ErrNotSent if the request was not sent; after any other
// error it may have arrived.
func (send Sender) Send(request *http.Request) (*http.Response, error) {
	tracker := &writeTracker{}
	response, err := send(request.WithContext(tracker.track(request.Context())))
	if err != nil {
		return nil, tracker.classify(err)
	}
	return response, nil
}

// Call sends a request and reads the whole answer. It truncates an answer longer than maxBytes, which
// then fails to decode. Errors are those of Send, or of reading the answer.
func (send Sender) Call(request *http.Request, maxBytes int64) (status int, body []byte, err error) {
	response, err := send.Send(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // All that is used was read, so the error does not matter.
	body, err = io.ReadAll(io.LimitReader(response.Body, maxBytes))
	return response.StatusCode, body, errors.Trace(err)
}

// writeTracker determines whether any byte of one request was written.
type writeTracker struct {
	conn *countingConn
	// before is the value of conn.written when the request got the connection.
	before int64
}

// track returns a context for the tracked request.
func (t *writeTracker) track(ctx context.Context) context.Context {
	check, _ := ctx.Value(beforeWriteKey{}).(func() error)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countingConn); ok {
				t.conn, t.before = conn, conn.written.Load()
				conn.setBeforeWrite(check)
			}
		},
	})
}

// beforeWriteKey is the context key of a function that is called before a request is written.
type beforeWriteKey struct{}

// WithBeforeWrite returns a context for a request. Once the request has a connection, check is called right before its
// first byte is written. If check returns an error, nothing is written, and Send returns that error as one of type
// ErrNotSent.
func WithBeforeWrite(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, beforeWriteKey{}, check)
}

// classify marks the error as ErrNotSent if no byte of the request was written.
func (t *writeTracker) classify(err error) error {
	if t.conn == nil || t.conn.written.Load() == t.before {
		return errors.WithType(err, ErrNotSent)
	}
	return errors.Trace(err)
}
