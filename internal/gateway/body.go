package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// bodyStall is the longest pause in a caller's body.
const bodyStall = 5 * time.Second

// bodyPiece is how many bytes of a body are read at once: a box holds no more than has come.
const bodyPiece = 16 << 10

// Body is a caller's request body, or why there is none.
type Body struct {
	Bytes []byte
	// Status is that of the refusal, in which case nothing is held; 0 if there is a body.
	Status int

	holdings *Holdings
}

// Release gives up what the body holds of the box's memory.
func (b *Body) Release() { b.holdings.Give(int64(len(b.Bytes))) }

// ReadBody reads a whole body within the configuration's limit and the memory that this box has for callers. A caller that stops sending
// is refused after bodyStall. It writes the headers of a refusal, but not its status.
func (g *Gateway) ReadBody(w http.ResponseWriter, r *http.Request) Body {
	if r.Body == nil || r.ContentLength == 0 {
		return Body{holdings: g.Holdings}
	}
	reader := r.Body
	if table := g.Table(); table != nil && table.Limits.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, table.Limits.MaxBodyBytes)
	}
	// The deadline is set once the body has paused, so that none is left behind for what the server reads of the connection after the body.
	stalled := time.AfterFunc(bodyStall, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
	defer stalled.Stop()
	body := Body{holdings: g.Holdings}
	for {
		piece := make([]byte, min(bodyPiece, max(512, cap(body.Bytes))))
		n, err := reader.Read(piece)
		stalled.Reset(bodyStall)
		if n > 0 && !g.Holdings.Take(int64(n)) {
			return g.refuseBody(w, &body, http.StatusServiceUnavailable)
		}
		body.Bytes = append(body.Bytes, piece[:n]...)
		if err == io.EOF {
			return body
		}
		if err != nil {
			return g.refuseBody(w, &body, bodyStatus(err))
		}
	}
}

// bodyStatus is the status of a refusal by the error of reading a body.
func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	}
	// The caller broke off; no line is written, since it has gone and nothing was done.
	return http.StatusBadRequest
}

// refuseBody gives up what came of a body.
func (g *Gateway) refuseBody(w http.ResponseWriter, body *Body, status int) Body {
	body.Release()
	if status == http.StatusServiceUnavailable {
		refused := notRun(reasonMemory, 0)
		g.countRefusal(refused)
		refused.writeHead(w.Header())
	}
	w.Header().Set("Connection", "close") // The rest of the body is not read.
	return Body{Status: status, holdings: nil}
}
