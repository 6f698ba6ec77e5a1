// Package membership holds a box's view of which boxes and upstreams exist.
//
// The view combines two sources: the platform's box list, which lags, and heartbeats and answers
// received directly. A box or upstream that is leaving according to either source is sent nothing new.
// The package owns the view and the ranking of boxes; it relies only on its caller, which passes in
// the lists, heartbeats and announcements.
//
// It belongs to the native mode, `ospreymoor serve`, where every box sends heartbeats to its whole
// hall. The boxes of `ospreymoor node` (internal/cluster) exchange load summaries instead, in large
// fleets through relays, and a box counts as a member while the store lists it or its exchanges continue.
package membership

import (
	"sort"
	"sync"
	"time"
)

// Kind is what runs on a box.
type Kind string

// The kinds of box: an entry box runs ospreymoor, the others are upstreams.
const (
	KindEntry   Kind = "entry"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Box is one entry of the platform's box list.
type Box struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	Hall string `json:"hall"`
	// Pool is the pool that an upstream belongs to.
	Pool string `json:"pool,omitempty"`
	// Address is host:port; for an entry box, that of its peer listener.
	Address string `json:"address"`
	// Leaving is set if the box accepts nothing new.
	Leaving bool `json:"leaving,omitempty"`
	// Fenced is set for an engine that checks the term of an order.
	Fenced bool `json:"fenced,omitempty"`
	// Memory is an engine's memory for models, in bytes.
	Memory int64 `json:"memory,omitempty"`
	// Slots is the number of requests that an engine runs at once at full speed.
	Slots int `json:"slots,omitempty"`
}

// List is the platform's box list at one moment.
type List struct {
	// Generation grows with each change.
	Generation int64 `json:"generation"`
	Boxes      []Box `json:"boxes"`
}

// Peer is another entry box as its last heartbeat describes it.
type Peer struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Hall        string `json:"hall"`
	Address     string `json:"address"`
	Leaving     bool   `json:"leaving,omitempty"`
	// Store is true if the peer reaches the key-value store.
	Store bool `json:"store,omitempty"`
}

// View combines the box list with heartbeats and answers of upstreams. It is safe for concurrent use.
type View struct {
	// self is this box's id.
	self string

	mu sync.Mutex
	// peerTimeout is the time without a heartbeat after which a peer counts as gone.
	peerTimeout time.Duration
	list        List
	// peers by id.
	peers map[string]lastHeartbeat
	// leaving holds the ids of upstreams that announced that they are leaving.
	leaving map[string]bool
}

// lastHeartbeat is a peer with the time of its last heartbeat.
type lastHeartbeat struct {
	peer Peer
	at   time.Time
}

// defaultPeerTimeout is the timeout until SetPeerTimeout is called: 5 s.
const defaultPeerTimeout = 5 * time.Second

// NewView returns an empty view for the box with the id self.
func NewView(self string) *View {
	return &View{self: self, peerTimeout: defaultPeerTimeout, peers: map[string]lastHeartbeat{}, leaving: map[string]bool{}}
}

// SetList replaces the box list unless the new one is older.
func (v *View) SetList(list List) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if list.Generation < v.list.Generation {
		return
	}
	v.list = list
	known := map[string]bool{}
	for _, box := range list.Boxes {
		known[box.ID] = true
	}
	// A box that leaves the list and is listed again later is a new one, and not leaving.
	for id := range v.leaving {
		if !known[id] {
			delete(v.leaving, id)
		}
	}
}

// SetPeerTimeout sets the time without a heartbeat after which a peer counts as gone. It should be several
// heartbeat intervals, and these are longer in large fleets.
func (v *View) SetPeerTimeout(timeout time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peerTimeout = timeout
}

// RecordHeartbeat records a peer's heartbeat; this box's own is ignored.
func (v *View) RecordHeartbeat(peer Peer) {
	if peer.ID == v.self {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers[peer.ID] = lastHeartbeat{peer: peer, at: time.Now()}
}

// MarkLeaving records that an upstream announced that it accepts nothing new.
// It reports whether that was not known before.
func (v *View) MarkLeaving(upstream string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving[upstream] {
		return false
	}
	v.leaving[upstream] = true
	return true
}

// ClearLeaving records that an upstream has restarted and accepts requests again.
func (v *View) ClearLeaving(upstream string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.leaving, upstream)
}

// AnnouncedLeaving returns the ids of the upstreams that announced that they are leaving, in order.
func (v *View) AnnouncedLeaving() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids := make([]string, 0, len(v.leaving))
	for id := range v.leaving {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Upstreams returns the boxes of a kind, with Leaving set if the box is leaving according to either source.
func (v *View) Upstreams(kind Kind) []Box {
	v.mu.Lock()
	defer v.mu.Unlock()
	var boxes []Box
	for _, box := range v.list.Boxes {
		if box.Kind == kind {
			box.Leaving = box.Leaving || v.leaving[box.ID]
			boxes = append(boxes, box)
		}
	}
	return boxes
}

// Entries returns the other entry boxes of the box list that are not leaving.
func (v *View) Entries() []Box {
	v.mu.Lock()
	defer v.mu.Unlock()
	var boxes []Box
	for _, box := range v.list.Boxes {
		if box.Kind == KindEntry && box.ID != v.self && !box.Leaving {
			boxes = append(boxes, box)
		}
	}
	return boxes
}

// Live returns the peers whose last heartbeat is recent enough and that are not leaving, ordered by id.
func (v *View) Live() []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var peers []Peer
	for _, h := range v.peers {
		if v.live(h) {
			peers = append(peers, h.peer)
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].ID < peers[j].ID })
	return peers
}

// LiveCount returns the number of peers that Live returns.
func (v *View) LiveCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, h := range v.peers {
		if v.live(h) {
			n++
		}
	}
	return n
}

// live reports whether a peer's last heartbeat is recent enough and it is not leaving. The caller
// holds mu.
func (v *View) live(h lastHeartbeat) bool {
	return !h.peer.Leaving && time.Since(h.at) < v.peerTimeout
}

// FleetSize returns the number of entry boxes that share the fleet's limits, this one included. It
// uses the source that has more boxes: a box then takes too small a share of a limit rather than too
// large a one.
func (v *View) FleetSize() int {
	return max(len(v.Entries()), v.LiveCount()) + 1
}

// Size returns the number of boxes of all kinds in the list; 0 means that no list has been received yet.
func (v *View) Size() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.list.Boxes)
}

// IsLeaving reports whether an upstream announced that it is leaving.
func (v *View) IsLeaving(upstream string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving[upstream]
}
