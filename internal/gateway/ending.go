package gateway

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// errCrashedAtEnd means that an answer without a stated end ended because its upstream crashed.
const errCrashedAtEnd = errors.ConstError("connection closed by a crash: the answer may be incomplete")

// confirmedBody reads an answer that ends with its connection. A crash of the upstream closes the connection as well, so
// the end counts only if the upstream is alive after it.
type confirmedBody struct {
	io.ReadCloser
	// crashed reports whether the upstream crashed, by a check that begins now or later.
	crashed func() bool
	// ended is the error of the end, once it was read.
	ended error
}

// Read reads a part of the answer.
func (b *confirmedBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if b.crashed() {
			err = errCrashedAtEnd
		}
		b.ended = err
	}
	return n, err
}

// confirmEnd has the end of an answer confirmed if its upstream stated none.
func (g *Gateway) confirmEnd(ctx context.Context, answer *Answer, upstream fleet.Upstream) {
	if !answer.EndsWithConnection {
		return
	}
	answer.Body = &confirmedBody{ReadCloser: answer.Body, crashed: func() bool {
		_, crashed := g.hasCrashed(ctx, upstream, time.Now())
		if crashed {
			g.Metrics.GetOrCreateCounter("ospreymoor_answers_ended_by_crash_total").Inc()
		}
		return crashed
	}}
}
