package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// This file decides whether an attempt uses this box's own links or a tunnel: a connection that another box opens. The
// upstream is chosen, charged and given notice of as always; only the way to it differs.
//
//	links        first way  second way, for the same attempt
//	sound        own        none
//	in question  own        a tunnel, if nothing was sent
//	lost         a tunnel   none: without another box to ask, the request is refused at once
//
// The links are in question if nothing was received from any upstream since the attempt began, or if the request found
// no connection to another upstream before. An upstream that a tunnel reached in this way gets the next requests through
// tunnels first, and over own links only if there is no other box to ask. A sound fleet opens no tunnels.

// Tunnels are the connections that other boxes open to upstreams for this one.
type Tunnels struct {
	// Check asks another box whether an upstream accepts connections. The error is ErrNoTunnel if none could be asked.
	Check func(ctx context.Context, upstream string) (accepts bool, err error)
	// Open returns how many tunnels this box uses.
	Open func() int
	// ExitLeaves reports whether a box that carries one of them is about to stop or has lost its own links.
	ExitLeaves func() bool
}

// deliver sends the attempt over this box's own links or through a tunnel. It returns the ticket of the way that was
// used last.
func (r *inflight) deliver(ctx context.Context, choice dispatch.Choice, attempt Attempt, ticket *dispatch.Ticket) (*Answer, *dispatch.Ticket, error) {
	links, id := &r.gateway.Links, choice.Upstream.ID
	if lost := links.Lost(); lost || links.PrefersTunnel(id) {
		answer, err := r.sendThrough(ctx, attempt, true)
		if lost || !errors.Is(err, ErrNoTunnel) || ctx.Err() != nil || !r.beginAgain(choice) {
			return answer, ticket, err
		}
		ticket = r.renewLoad(choice, ticket)
	}
	begun := time.Now()
	answer, err := r.sendThrough(ctx, attempt, false)
	if !errors.Is(err, ErrNotSent) || withdrawn(err) || ctx.Err() != nil {
		return answer, ticket, err
	}
	r.recordUnreached(choice)
	if r.mayTunnel(begun) && r.beginAgain(choice) {
		ticket = r.renewLoad(choice, ticket)
		answer, tunnelErr := r.sendThrough(ctx, attempt, true)
		if !errors.Is(tunnelErr, ErrNotSent) {
			links.RecordReachedByTunnel(id)
			return answer, ticket, tunnelErr
		}
		r.attempts.tunnelled = false
	}
	if !links.Lost() {
		r.gateway.Directory.MarkUnreachable(id)
	}
	return nil, ticket, err
}

// lacksAnyWay reports whether an attempt failed because the links are lost and there is no other box to ask.
func (r *inflight) lacksAnyWay(err error) bool {
	return errors.Is(err, ErrNoTunnel) && r.gateway.Links.Lost()
}

// mayTunnel reports whether an attempt that found no connection over this box's own links may go through a tunnel.
func (r *inflight) mayTunnel(begun time.Time) bool {
	links := &r.gateway.Links
	inQuestion := !links.ContactSince(begun) || r.attempts.unreached > 1
	return r.gateway.Tunnels.Open != nil && inQuestion && links.MayTunnel()
}

// sendThrough sends the attempt through a tunnel or over this box's own links.
func (r *inflight) sendThrough(ctx context.Context, attempt Attempt, tunnelled bool) (*Answer, error) {
	r.attempts.tunnelled = tunnelled
	attempt.Tunnelled = tunnelled
	attempt.BeforeWrite = r.beginSending()
	if !r.deadlines.answer.IsZero() {
		attempt.TimeLeft = time.Until(r.deadlines.answer)
	}
	if tunnelled {
		r.gateway.Metrics.GetOrCreateCounter("ospreymoor_tunnelled_attempts_total").Inc()
	}
	return r.gateway.Upstreams.Send(ctx, r.endpoint, attempt)
}

// beginAgain begins sending to the same upstream for a second time, as beginSend does. What was known when the first one
// began may be out of date.
func (r *inflight) beginAgain(choice dispatch.Choice) bool {
	r.endpoint.End()
	return r.beginSend(choice)
}

// renewLoad replaces a ticket, so that the time lost on the first way is not taken for slowness of the upstream.
func (r *inflight) renewLoad(choice dispatch.Choice, ticket *dispatch.Ticket) *dispatch.Ticket {
	ticket.End()
	return r.beginLoad(choice)
}

// recordUnreached records that this box's own links did not reach the chosen upstream. Once they are lost, that shows
// nothing about its hall.
func (r *inflight) recordUnreached(choice dispatch.Choice) {
	r.attempts.unreached++
	r.gateway.Links.RecordFailure(choice.Upstream.ID)
	if !r.gateway.Links.Lost() {
		r.gateway.Reach.RecordFailure(choice.Upstream.Hall, choice.Upstream.ID)
	}
}

// recordContact records that something was received from an upstream, unless it came through a tunnel.
func (r *inflight) recordContact(hall string) {
	if r.attempts.tunnelled {
		return
	}
	r.gateway.Reach.RecordContact(hall)
	r.gateway.Links.RecordContact()
}

// withinReach returns the upstreams in halls within reach. Through tunnels, all halls are.
func (g *Gateway) withinReach(list []*fleet.State) []*fleet.State {
	if g.Links.Lost() {
		return list
	}
	return g.Reach.WithinReach(list)
}

// watchLinks logs and exports the state of this box's own links. When they are lost, idle connections over them are
// closed, since a request on one would be sent and lost, and upstreams that were marked as unreachable over them become
// candidates again.
func (g *Gateway) watchLinks() {
	g.Links.OnSuspected = func(upstreams int, silence time.Duration) {
		g.Log.Info("links to upstreams suspected: several failed and none answered meanwhile",
			zap.Int("upstreams", upstreams), zap.Duration("silence", silence))
	}
	g.Links.OnContact = func(after time.Duration) {
		g.Log.Info("links to upstreams no longer suspected", zap.Duration("after", after))
	}
	g.Links.OnLost = func(silence time.Duration) {
		g.Log.Warn("links to upstreams lost: other boxes carry this one's connections", zap.Duration("silence", silence))
		g.Metrics.GetOrCreateCounter("ospreymoor_upstream_links_lost_total").Inc()
		g.Directory.ForgetUnreachable()
		g.Upstreams.closeIdle(false)
	}
	g.Links.OnRegained = func(after time.Duration) {
		g.Log.Info("links to upstreams regained", zap.Duration("after", after))
	}
	gauge := func(name string, value func() bool) {
		g.Metrics.NewGauge(name, func() float64 {
			if value() {
				return 1
			}
			return 0
		})
	}
	gauge("ospreymoor_upstream_links_suspected", g.Links.Suspected)
	gauge("ospreymoor_upstream_links_lost", g.Links.Lost)
}

const (
	// probeInterval is the mean time between two probes of lost links, and the time between two looks whether a box that
	// carries a tunnel is about to stop. Probes are spread over half of it to either side, so that boxes that lost their
	// links together do not return to their upstreams together.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 200 * time.Millisecond
)

// RunLinks probes this box's own links while they are lost, and closes the idle tunnels that are not to be used again,
// until ctx ends.
func (g *Gateway) RunLinks(ctx context.Context) {
	for pause.For(ctx, probeInterval/2+rand.N(probeInterval)) == nil {
		if g.Links.Lost() {
			reaches, _ := g.reachesOther(ctx, "")
			g.Links.RecordProbe(reaches)
		}
		if g.Tunnels.Open != nil && g.Tunnels.Open() > 0 && (!g.Links.UsesTunnels() || g.Tunnels.ExitLeaves()) {
			g.Upstreams.closeIdle(true)
		}
	}
}

// reachesOther reports whether this box's own links reach a random upstream other than one. The result known is false if
// that cannot be tried.
func (g *Gateway) reachesOther(ctx context.Context, than string) (reaches, known bool) {
	if g.Upstreams.Accepts == nil {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g.Metrics.GetOrCreateCounter("ospreymoor_upstream_link_probes_total").Inc()
	return g.Directory.ReachesOther(ctx, than, g.Upstreams.Accepts)
}
