package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// bodyStallTimeout is the longest pause allowed while a caller sends its body.
const bodyStallTimeout = 5 * time.Second

// bodyChunkSize is the largest number of bytes of a body that are read at once. A box thus holds little more than
// has arrived.
const bodyChunkSize = 16 << 10

// Body is a caller's request body, or the status of its refusal.
type Body struct {
	Bytes []byte
	// Status is the status of the refusal, in which case no memory is reserved; 0 if the body was read.
	Status int

	memory *MemoryBudget
}

// Release returns the body's memory to the box's budget.
func (b *Body) Release() { b.memory.Release(int64(len(b.Bytes))) }

// ReadBody reads a whole body within the configured size limit and this box's memory budget. It refuses a caller
// that stops sending for bodyStallTimeout and, while this box stops, a request that may not be sent any more by its
// deadline. It writes the headers of a refusal, but not its status.
func (g *Gateway) ReadBody(w http.ResponseWriter, r *http.Request, deadline time.Time) Body {
	if r.Body == nil || r.ContentLength == 0 {
		return Body{memory: g.CallerMemory}
	}
	reader := r.Body
	if table := g.Table(); table != nil && table.Limits.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, table.Limits.MaxBodyBytes)
	}
	// The read deadline is set only once the body has stalled. No deadline is then left behind for what the server reads
	// from the connection after the body.
	interrupt := func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) }
	stalled := time.AfterFunc(bodyStallTimeout, interrupt)
	defer stalled.Stop()
	stopWaiting := g.sendLimit.onEnd(deadline, interrupt)
	body := Body{memory: g.CallerMemory}
	err := g.readAll(&body, reader, stalled)
	switch stopping := stopWaiting(); {
	case stopping:
		return g.refuseBody(w, &body, http.StatusServiceUnavailable, reasonStopping)
	case err == errCallerMemory:
		return g.refuseBody(w, &body, http.StatusServiceUnavailable, reasonMemory)
	case err != nil:
		return g.refuseBody(w, &body, bodyStatus(err), "")
	}
	return body
}

// errCallerMemory means that the box's memory budget has no room for a body.
const errCallerMemory = errors.ConstError("memory for callers is used up")

// readAll reads a body to its end, and has stalled begin anew with each part.
func (g *Gateway) readAll(body *Body, reader io.Reader, stalled *time.Timer) error {
	for {
		chunk := make([]byte, min(bodyChunkSize, max(512, cap(body.Bytes))))
		n, err := reader.Read(chunk)
		stalled.Reset(bodyStallTimeout)
		if n > 0 && !g.CallerMemory.Reserve(int64(n)) {
			return errCallerMemory
		}
		body.Bytes = append(body.Bytes, chunk[:n]...)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodyStatus returns the status of the refusal for an error of reading a body.
func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	}
	// The caller broke off. Nothing is logged, since it is gone and nothing was run.
	return http.StatusBadRequest
}

// refuseBody releases the memory of an incomplete body and prepares its refusal. cause is why this box refuses it; empty
// if the caller is at fault.
func (g *Gateway) refuseBody(w http.ResponseWriter, body *Body, status int, cause reason) Body {
	body.Release()
	if cause != "" {
		refused := notRun(cause, 0)
		g.countRefusal(refused)
		refused.writeHead(w.Header())
	}
	w.Header().Set("Connection", "close") // The rest of the body is not read.
	return Body{Status: status, memory: nil}
}
