package node

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/gateway"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// newTunnels returns the tunnels of this box, and exports their numbers. The gateway's links must be set before use.
func (n *Node) newTunnels(config Config, s shared) *cluster.Tunnels {
	t := &cluster.Tunnels{Members: s.members, Client: n.client, Directory: s.directory, Dial: config.DialUpstream, Leaving: n.leaving.Load}
	config.Metrics.NewGauge(`ospreymoor_tunnels{role="own"}`, func() float64 { own, _ := t.Counts(); return float64(own) })
	config.Metrics.NewGauge(`ospreymoor_tunnels{role="carried"}`, func() float64 { _, carried := t.Counts(); return float64(carried) })
	return t
}

// gatewayTunnels returns the functions with which the gateway uses tunnels.
func (n *Node) gatewayTunnels() gateway.Tunnels {
	return gateway.Tunnels{
		Check:      n.checkThroughTunnel,
		Open:       func() int { own, _ := n.tunnels.Counts(); return own },
		ExitLeaves: n.tunnels.UsesLeaving,
	}
}

// DialTunnel opens a connection to an upstream through another box. Its address is not used: the other box goes by its
// own list. If no box could be asked, the error is of type gateway.ErrNoTunnel.
func (n *Node) DialTunnel(ctx context.Context, upstream, _ string) (net.Conn, error) {
	conn, err := n.tunnels.Open(ctx, upstream)
	if errors.Is(err, cluster.ErrNoExit) {
		return nil, errors.WithType(err, gateway.ErrNoTunnel)
	}
	return conn, err
}

// checkThroughTunnel asks another box whether an upstream accepts connections.
func (n *Node) checkThroughTunnel(ctx context.Context, upstream string) (accepts bool, err error) {
	conn, err := n.tunnels.Open(ctx, upstream)
	switch {
	case err == nil:
		return true, conn.Close()
	case errors.Is(err, cluster.ErrUpstreamRefuses):
		return false, nil
	}
	return false, errors.WithType(err, gateway.ErrNoTunnel)
}

// tunnelPoll is how often AwaitTunnels looks whether tunnels are left.
const tunnelPoll = 50 * time.Millisecond

// AwaitTunnels waits until this box carries no tunnels of other boxes or ctx ends, and returns how many are left. Boxes
// that use them learn by the exchange that this one is about to stop.
func (n *Node) AwaitTunnels(ctx context.Context) (left int) {
	for {
		_, left = n.tunnels.Counts()
		if left == 0 || pause.For(ctx, tunnelPoll) != nil {
			return left
		}
	}
}
