package gateway

import (
	"context"
	"io"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// errUnconfirmedEnd means that an answer without a stated end ended, and that its upstream took no connection after it.
const errUnconfirmedEnd = errors.ConstError("connection closed and the upstream is gone: the answer may be incomplete")

// confirmedBody reads an answer that ends with its connection. A crash of the upstream closes the connection as well, so
// the end counts only if the upstream is alive after it.
type confirmedBody struct {
	io.ReadCloser
	// alive reports whether the upstream is alive now.
	alive func() bool
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
		if !b.alive() {
			err = errUnconfirmedEnd
		}
		b.ended = err
	}
	return n, err
}

// confirmEnd has the end of an answer confirmed if its upstream stated none.
func (g *Gateway) confirmEnd(ctx context.Context, answer *Answer, upstream fleet.Upstream) {
	if !answer.EndsWithConnection || g.Upstreams.Accepts == nil {
		return
	}
	answer.Body = &confirmedBody{ReadCloser: answer.Body, alive: func() bool {
		alive := g.acceptsConnections(ctx, upstream)
		if !alive {
			g.Metrics.GetOrCreateCounter("ospreymoor_answers_ended_unconfirmed_total").Inc()
		}
		return alive
	}}
}

// acceptsConnections reports whether an upstream accepts a connection now, from this box or from another one. Unlike for
// a crash, which is held against requests, an upstream that nobody reaches does not count as alive.
func (g *Gateway) acceptsConnections(ctx context.Context, upstream fleet.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	if !g.Links.Lost() && g.Upstreams.Accepts(ctx, upstream) {
		return true
	}
	if g.Tunnels.Check == nil {
		return false
	}
	accepts, err := g.Tunnels.Check(ctx, upstream.ID)
	return err == nil && accepts // The error is not logged: the end stays unconfirmed, which is.
}
