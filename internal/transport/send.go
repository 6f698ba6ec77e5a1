package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/juju/errors"
)

const (
	// ErrNotSent marks the error of a request of which no byte was written.
	ErrNotSent = errors.ConstError("not sent")
	// ErrTooLong marks the error of an answer whose head is longer than maxHeadBytes, or whose body is longer than its
	// caller allows. Its connection is closed.
	ErrTooLong = errors.ConstError("answer too long")
	// errSentBefore is the error of a request whose connection failed after a byte of it was written.
	errSentBefore = errors.ConstError("connection failed after the request was sent: it may have run")
)

// Sender sends a request over a transport that New returned. It is http.Client.Do, or
// http.Transport.RoundTrip, which follows no redirects. One that returns an error for an answer rejects it.
type Sender func(*http.Request) (*http.Response, error)

// Send sends a request. The error is of type ErrNotSent if the request was not sent; after any other
// error it may have arrived.
//
// An answer that the sender rejects ends its connection, whether or not it has a body, so that the server learns that
// nobody waits for the request. Nothing else is sent on that connection.
func (send Sender) Send(request *http.Request) (*http.Response, error) {
	for {
		response, err := send.once(request)
		if !errors.Is(err, errRejected) || !rewind(&request) {
			return response, err
		}
	}
}

// rewind replaces a request by a copy with an unread body, if it can be had.
func rewind(request **http.Request) bool {
	original := *request
	if original.Body == nil || original.Body == http.NoBody {
		return true
	}
	if original.GetBody == nil {
		return false
	}
	body, err := original.GetBody()
	if err != nil {
		return false // The error that led here shows that the request was not sent.
	}
	*request = original.WithContext(original.Context())
	(*request).Body = body
	return true
}

// once sends a request on one connection. net/http sends some requests again, on another connection, if a kept one fails
// before the answer: those without a body whose method or Idempotency-Key header it takes for a sign that they may run
// twice. Here it may not, once a byte was written.
func (send Sender) once(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	tracker := &writeTracker{cancel: cancel}
	sent := request.WithContext(tracker.track(ctx))
	sent.GetBody = nil
	response, err := send(sent)
	tracker.settle(err != nil)
	if err != nil {
		cancel(nil)
		return nil, tracker.classify(err)
	}
	response.Body = &endingBody{ReadCloser: response.Body, response: response, end: cancel}
	return response, nil
}

// endingBody ends the context of its request when it is read or closed.
type endingBody struct {
	io.ReadCloser
	response *http.Response
	end      context.CancelCauseFunc
}

// Read reads from the body. The error is of type ErrMalformed if the trailer is none.
func (b *endingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := checkTrailer(b.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	if err != nil {
		b.end(nil)
	}
	return n, err
}

// Close closes the body.
func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(nil)
	return err
}

// Call sends a request and reads the whole answer. Errors are those of Send, or of reading the answer. With ErrTooLong
// for a body of more than maxBytes, it returns the status and the beginning of the body.
func (send Sender) Call(request *http.Request, maxBytes int64) (status int, body []byte, err error) {
	response, err := send.Send(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // All that is used was read, so the error does not matter.
	body, err = io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if int64(len(body)) > maxBytes {
		return response.StatusCode, body[:maxBytes], errors.Annotatef(ErrTooLong, "more than %d bytes", maxBytes)
	}
	return response.StatusCode, body, errors.Trace(err)
}

// writeTracker determines whether any byte of one request was written, and settles the verdict on its answer.
type writeTracker struct {
	// cancel ends the request.
	cancel context.CancelCauseFunc
	conn   *countingConn
	// before is the value of conn.written when the request got the connection, and readBefore that of conn.read.
	before, readBefore int64
	// current is the verdict on the request's own answer; nil once it is settled. earlier is that on the answer before it.
	current, earlier *verdict
}

// track returns a context for the tracked request.
func (t *writeTracker) track(ctx context.Context) context.Context {
	check, _ := ctx.Value(beforeWriteKey{}).(func() error)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countingConn); ok {
				t.begin(ctx, conn, check)
			}
		},
	})
}

// begin begins the request on a connection. net/http calls it again, for another connection, if the first one failed. If
// anything was written there, it ends the request.
func (t *writeTracker) begin(ctx context.Context, conn *countingConn, check func() error) {
	t.settle(true)
	if t.wasWritten() {
		conn.setBeforeWrite(func() error { return errSentBefore })
		t.cancel(errSentBefore)
		return
	}
	t.conn, t.before, t.readBefore, t.current = conn, conn.written.Load(), conn.read.Load(), newVerdict()
	t.earlier = conn.verdict.Swap(t.current)
	conn.heads.begin()
	earlier := t.earlier
	conn.setBeforeWrite(func() error {
		if err := earlier.wait(ctx); err != nil {
			return err
		}
		if check == nil {
			return nil
		}
		return check()
	})
}

// settle settles the verdict, if it is open, and closes the connection if the answer was rejected or there is none.
func (t *writeTracker) settle(rejected bool) {
	if t.current == nil {
		return
	}
	t.current.settle(rejected)
	t.current = nil
	if rejected {
		_ = t.conn.Close() // An error does not matter: the connection is not used again.
	}
}

// beforeWriteKey is the context key of a function that is called before a request is written.
type beforeWriteKey struct{}

// WithBeforeWrite returns a context for a request. Once the request has a connection, check is called right before its
// first byte is written. If check returns an error, nothing is written, and Send returns that error as one of type
// ErrNotSent.
func WithBeforeWrite(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, beforeWriteKey{}, check)
}

// wasWritten reports whether any byte of the request was written.
func (t *writeTracker) wasWritten() bool { return t.conn != nil && t.conn.written.Load() != t.before }

// classify marks the error as ErrNotSent if no byte of the request was written, and as errRejected if that is because the
// connection was closed for the answer before. It marks it as ErrTooLong or ErrMalformed if the answer's head was.
func (t *writeTracker) classify(err error) error {
	if t.wasWritten() {
		if malformed := t.conn.heads.error(); malformed != nil {
			return malformed
		}
		if t.conn.read.Load()-t.readBefore >= maxHeadBytes {
			return errors.WithType(err, ErrTooLong)
		}
		return errors.Trace(err)
	}
	if t.earlier.wasRejected() {
		err = errors.WithType(err, errRejected)
	}
	return errors.WithType(err, ErrNotSent)
}
