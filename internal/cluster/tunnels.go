package cluster

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
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
	// maxOwnHallExits is how many of them are boxes of this one's hall, while there are others.
	maxOwnHallExits = 2
	// exitRetryDelay is how long a box that could not carry a tunnel is not asked for another one.
	exitRetryDelay = time.Second
	// hallRetryDelay is how long the boxes of a hall are asked last after one of them could not carry a tunnel.
	hallRetryDelay = 5 * time.Second
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
	// own counts this box's open tunnels by exit. unavailableAt is when a box last could not carry one, and silentAt when
	// an upstream last did not answer one: that box may have lost its links as well. hallFailedAt is when either last
	// happened in a hall, unless a box there carried a tunnel since.
	own                                   map[string]int
	unavailableAt, silentAt, hallFailedAt map[string]time.Time
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
	if err != nil || status == peer.TunnelUnavailable {
		// The error is not logged: the exchange logs which boxes are lost.
		record(&t.unavailableAt, exit.Name)
		record(&t.hallFailedAt, exit.Hall)
		return nil, peer.TunnelUnavailable
	}
	if status == peer.TunnelSilent {
		record(&t.silentAt, exit.Name)
		record(&t.hallFailedAt, exit.Hall)
	}
	if conn == nil {
		return nil, status
	}
	delete(t.hallFailedAt, exit.Hall)
	if t.own == nil {
		t.own = map[string]int{}
	}
	t.own[exit.Name]++
	return &countedTunnel{Conn: conn, onClose: func() { t.closeOwn(exit.Name) }}, status
}

// record sets the time of a box or hall to now.
func record(times *map[string]time.Time, name string) {
	if *times == nil {
		*times = map[string]time.Time{}
	}
	(*times)[name] = time.Now()
}

func (t *Tunnels) closeOwn(exit string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own[exit]--; t.own[exit] == 0 {
		delete(t.own, exit)
	}
}

// exits returns the boxes to ask for a tunnel in order: those through which this box has the fewest, so that its
// callers' requests are spread over all boxes, and among equals those of its hall first. Those that just found an upstream
// silent come last, and before them those in halls where that happened: a whole hall may have lost its links.
func (t *Tunnels) exits() []Box {
	now := time.Now()
	boxes := t.Members.exits(now)
	rand.Shuffle(len(boxes), func(i, k int) { boxes[i], boxes[k] = boxes[k], boxes[i] })
	t.mu.Lock()
	defer t.mu.Unlock()
	boxes = slices.DeleteFunc(boxes, func(box Box) bool { return now.Sub(t.unavailableAt[box.Name]) < exitRetryDelay })
	rank := func(box Box) [3]int {
		rank := [3]int{0, t.own[box.Name], 0}
		switch {
		case now.Sub(t.silentAt[box.Name]) < exitRetryDelay:
			rank[0] = 2
		case now.Sub(t.hallFailedAt[box.Hall]) < hallRetryDelay:
			rank[0] = 1
		}
		if box.Hall != t.Members.self.Hall {
			rank[2] = 1
		}
		return rank
	}
	slices.SortStableFunc(boxes, func(a, b Box) int {
		rankA, rankB := rank(a), rank(b)
		return slices.Compare(rankA[:], rankB[:])
	})
	return t.limitOwnHall(boxes)
}

// limitOwnHall moves the boxes of this one's hall beyond the first maxOwnHallExits behind those of other halls: a whole
// hall may have lost its links.
func (t *Tunnels) limitOwnHall(boxes []Box) []Box {
	first := make([]Box, 0, len(boxes))
	var rest []Box
	ownHall := 0
	for _, box := range boxes {
		if box.Hall == t.Members.self.Hall {
			ownHall++
			if ownHall > maxOwnHallExits {
				rest = append(rest, box)
				continue
			}
		}
		first = append(first, box)
	}
	return append(first, rest...)
}

// UsesLeaving reports whether a box that is about to stop, or has lost its links, carries a tunnel of this one.
func (t *Tunnels) UsesLeaving() bool {
	available := map[string]bool{}
	for _, box := range t.Members.exits(time.Now()) {
		available[box.Name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for exit := range t.own {
		if !available[exit] {
			return true
		}
	}
	return false
}

// Counts returns how many tunnels this box has open through others, and how many it carries for others.
func (t *Tunnels) Counts() (own, carried int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, count := range t.own {
		own += count
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

// exits returns the other boxes that may carry a tunnel: they can, are not about to stop, answer the exchange and have
// not reported that they lost their own links.
func (m *Members) exits(now time.Time) []Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Box
	for _, other := range m.byName {
		recent := now.Sub(other.report.received) < reportTTL
		unable := other.call.lost() || recent && (other.report.leaving || other.report.linksLost)
		if other.CarriesTunnels && !unable {
			list = append(list, other.Box)
		}
	}
	return list
}
