package cluster

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/internal/transport"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// The errors of Tunnels.Open. In each case nothing was sent to the upstream.
const (
	// ErrNoExit means that no other box could be asked for a tunnel.
	ErrNoExit = errors.ConstError("no other box carries connections to upstreams: only this box's own links are left")
	// ErrNotReached means that the boxes that were asked do not reach the upstream either.
	ErrNotReached = errors.ConstError("other boxes do not reach the upstream: choose another one")
	// ErrUpstreamRefuses means that the upstream's host refuses connections.
	ErrUpstreamRefuses = errors.ConstError("upstream refuses connections of other boxes: its process is gone")
)

const (
	// maxTunnels is how many tunnels a box carries at once. Each takes two file descriptors and 16 KB of buffers, of at least
	// 4,100 descriptors and 64 MB.
	maxTunnels = 256
	// exitDialTimeout bounds how long an exit tries to connect to an upstream. It is far above a round trip between halls.
	exitDialTimeout = 150 * time.Millisecond
	// exitAskTimeout bounds a request for a tunnel, and openTimeout all of those for one connection.
	exitAskTimeout = exitDialTimeout + 100*time.Millisecond
	openTimeout    = 400 * time.Millisecond
	// maxExits is how many boxes are asked for one connection.
	maxExits = 8
)

// Tunnels opens connections to upstreams through other boxes, for a box that has lost its own links to them, and carries
// those of other boxes. An exit connects to the upstream itself and never through a third box, so that tunnels form no
// circles.
type Tunnels struct {
	Members   *Members
	Client    *peer.Client
	Directory *fleet.Directory
	Links     *fleet.Links
	// Dial opens a connection of this box's own to an upstream.
	Dial transport.DialFunc
	// Leaving reports whether this box is about to stop.
	Leaving func() bool

	mu sync.Mutex
	// byExit is what this box knows about others as exits, by their names.
	byExit map[string]exitState
	// hallFailedAt is when a box of a hall last could not carry a tunnel or found the upstream silent, unless one there
	// carried a tunnel since.
	hallFailedAt map[string]time.Time
	// carried counts the tunnels that this box carries.
	carried int
}

// Handle makes this box carry the tunnels of other boxes.
func (t *Tunnels) Handle(server *peer.Server) { server.OnTunnel = t.serve }

// Open opens a connection to an upstream through another box. The error is ErrNoExit, ErrNotReached or
// ErrUpstreamRefuses.
func (t *Tunnels) Open(ctx context.Context, upstream string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	silent := false
	exits := t.exits()
	for _, exit := range exits[:min(len(exits), maxExits)] {
		conn, status := t.openThrough(ctx, exit, upstream)
		switch status {
		case peer.TunnelOpen:
			t.Links.RecordCarried()
			return conn, nil
		case peer.TunnelRefused:
			return nil, errors.Annotatef(ErrUpstreamRefuses, "box %s", exit.Name)
		case peer.TunnelSilent:
			silent = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	t.Links.RecordNotCarried()
	if silent {
		return nil, ErrNotReached
	}
	return nil, ErrNoExit
}

// openThrough requests a tunnel of one box.
func (t *Tunnels) openThrough(ctx context.Context, exit Box, upstream string) (net.Conn, peer.TunnelStatus) {
	ctx, cancel := context.WithTimeout(ctx, exitAskTimeout)
	defer cancel()
	conn, status, err := t.Client.OpenTunnel(ctx, exit.Address, upstream)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byExit == nil {
		t.byExit, t.hallFailedAt = map[string]exitState{}, map[string]time.Time{}
	}
	now, state := time.Now(), t.byExit[exit.Name]
	switch {
	case err != nil || status == peer.TunnelUnavailable:
		// The error is not logged: the exchange logs which boxes are lost.
		status, state.unavailableAt = peer.TunnelUnavailable, now
		t.hallFailedAt[exit.Hall] = now
	case status == peer.TunnelSilent:
		state.silentAt = now
		t.hallFailedAt[exit.Hall] = now
	case status == peer.TunnelOpen:
		state.open++
		delete(t.hallFailedAt, exit.Hall)
		conn = &countedTunnel{Conn: conn, onClose: func() { t.closeOwn(exit.Name) }}
	}
	t.byExit[exit.Name] = state
	return conn, status
}

func (t *Tunnels) closeOwn(exit string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.byExit[exit]
	state.open--
	t.byExit[exit] = state
}

// UsesLeaving reports whether a box that is about to stop, or has lost its links, carries a tunnel of this one.
func (t *Tunnels) UsesLeaving() bool {
	available := map[string]bool{}
	for _, box := range t.Members.exits(time.Now()) {
		available[box.Name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for exit, state := range t.byExit {
		if state.open > 0 && !available[exit] {
			return true
		}
	}
	return false
}

// Counts returns how many tunnels this box has open through others, and how many it carries for others.
func (t *Tunnels) Counts() (own, carried int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.byExit {
		own += state.open
	}
	return own, t.carried
}

// serve opens a connection of this box's own to an upstream for another box.
func (t *Tunnels) serve(upstream string) (net.Conn, peer.TunnelStatus) {
	state := t.Directory.Get(upstream)
	if state == nil {
		return nil, peer.TunnelUnknown
	}
	if t.Leaving() || t.Links.Suspected() || !t.beginCarrying() {
		return nil, peer.TunnelUnavailable
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitDialTimeout)
	defer cancel()
	conn, err := t.Dial(ctx, "tcp", state.Address)
	if err != nil {
		t.endCarrying()
		if errors.Is(err, syscall.ECONNREFUSED) && t.hasLinks(ctx, upstream) {
			return nil, peer.TunnelRefused
		}
		return nil, peer.TunnelSilent
	}
	return &countedTunnel{Conn: conn, onClose: t.endCarrying}, peer.TunnelOpen
}

// hasLinks reports whether this box connects to another upstream, or has no other to try. Otherwise it may be refused
// everywhere, since its own links are cut.
func (t *Tunnels) hasLinks(ctx context.Context, than string) bool {
	reaches, known := t.Directory.ReachesOther(ctx, than, func(ctx context.Context, of fleet.Upstream) bool {
		return t.Dial.Accepts(ctx, of.Address)
	})
	return reaches || !known
}

func (t *Tunnels) beginCarrying() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.carried >= maxTunnels {
		return false
	}
	t.carried++
	return true
}

func (t *Tunnels) endCarrying() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.carried--
}

// countedTunnel calls onClose once it is closed.
type countedTunnel struct {
	net.Conn
	onClose func()
	once    sync.Once
}

// Close closes the connection.
func (c *countedTunnel) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}
