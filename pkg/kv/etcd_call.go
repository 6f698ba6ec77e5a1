package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// maxAnswerBytes bounds how much of an answer is read, in bytes. The longest answers are lists of values of
// the largest size, in base64.
const maxAnswerBytes = 64 << 20

// read makes a call that changes nothing: every failure is ErrUnavailable.
func (e *etcd) read(ctx context.Context, path string, request, answer any) error {
	if _, err := e.call(ctx, path, request, answer); err != nil {
		return fmt.Errorf("%v: %w", errors.Annotatef(err, "calling %s", path), ErrUnavailable)
	}
	return nil
}

// change makes a call that changes something. A failure is ErrUnavailable if the service refused the
// call or the call was never sent, else ErrUnknown.
func (e *etcd) change(ctx context.Context, path string, request, answer any) error {
	notExecuted, err := e.call(ctx, path, request, answer)
	if err == nil {
		return nil
	}
	kind := ErrUnknown
	if notExecuted {
		kind = ErrUnavailable
	}
	return fmt.Errorf("%v: %w", errors.Annotatef(err, "calling %s", path), kind)
}

// call makes one call and decodes its answer. With an error it returns whether it is certain that the
// service did not execute the call.
func (e *etcd) call(ctx context.Context, path string, request, answer any) (notExecuted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.CallTimeout)
	defer cancel()
	response, err := e.post(ctx, path, request)
	if err != nil {
		return isDialError(err), err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusTooManyRequests {
		return true, errors.Errorf("status %s", response.Status)
	}
	if response.StatusCode != http.StatusOK {
		return false, errors.Errorf("status %s", response.Status)
	}
	return false, json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer)
}

func (e *etcd) post(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	url := strings.TrimSuffix(e.URL, "/") + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport can't send a change a second time by itself.
	r.GetBody = nil
	return e.Client.Do(r)
}

// isDialError reports whether no connection was made, so that nothing can have been sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
