// Package membership is a box's view of the boxes and upstreams that there are.
//
// Two sources are joined: the platform's box list, which lags, and heartbeats and answers received
// directly. Whatever leaves by either source gets nothing new. The package owns the view and the
// ranking of boxes; it relies on its caller to feed it, and on nothing else.
//
// It belongs to the native way, `ospreymoor serve`, where every box sends heartbeats to its whole
// hall. The peers of `ospreymoor node` (internal/gateway) exchange load summaries with a few partners
// instead, and a box counts as a member while the store lists it or its exchanges go on.
package membership

import (
	"sort"
	"sync"
	"time"
)

// Kind is what runs on a box.
type Kind string

// The kinds of box.
const (
	KindEntry   Kind = "entry"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Box is one line of the platform's box list.
type Box struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	Hall string `json:"hall"`
	// Pool of an upstream.
	Pool string `json:"pool,omitempty"`
	// Address is host:port; for an entry box, that of its peer listener.
	Address string `json:"address"`
	// Leaving boxes take nothing new.
	Leaving bool `json:"leaving,omitempty"`
	// Fenced engines check the term of an order.
	Fenced bool `json:"fenced,omitempty"`
	// Memory of an engine for models, in bytes.
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
	// Store is true if the peer reaches the key-value service.
	Store bool `json:"store,omitempty"`
}

// View joins the box list, heartbeats and answers of upstreams. It is safe for concurrent use.
type View struct {
	// self is this box's id.
	self string

	mu sync.Mutex
	// lapse is the time without a heartbeat after which a peer counts as gone.
	lapse time.Duration
	list  List
	// peers by id.
	peers map[string]lastHeartbeat
	// leaving holds the ids of upstreams that announced themselves that they leave.
	leaving map[string]bool
}

// lastHeartbeat is a peer with the time of its last heartbeat.
type lastHeartbeat struct {
	peer Peer
	at   time.Time
}

// defaultLapse holds until SetSilence is called: 5 s.
const defaultLapse = 5 * time.Second

// NewView returns the empty view of a box with an id.
func NewView(self string) *View {
	return &View{self: self, lapse: defaultLapse, peers: map[string]lastHeartbeat{}, leaving: map[string]bool{}}
}

// SetList takes a box list in unless it is older than the one held.
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
	// A box that has gone from the list and comes back is a new one.
	for id := range v.leaving {
		if !known[id] {
			delete(v.leaving, id)
		}
	}
}

// SetLapse sets the time without a heartbeat after which a peer counts as gone: several times
// the interval of heartbeats, which is longer in large fleets.
func (v *View) SetLapse(lapse time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lapse = lapse
}

// Heartbeat takes a peer's heartbeat in.
func (v *View) Heartbeat(peer Peer) {
	if peer.ID == v.self {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers[peer.ID] = lastHeartbeat{peer: peer, at: time.Now()}
}

// MarkLeaving records that an upstream announced itself that it takes nothing new.
// It reports whether that was not known.
func (v *View) MarkLeaving(upstream string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving[upstream] {
		return false
	}
	v.leaving[upstream] = true
	return true
}

// MarkStaying records that an upstream has started anew and takes requests again.
func (v *View) MarkStaying(upstream string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.leaving, upstream)
}

// AnnouncedLeaving lists the upstreams that announced themselves that they leave, by id.
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

// Upstreams lists the boxes of a kind, with Leaving set if either source has it.
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

// Entries lists the other entry boxes of the box list that are not leaving.
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

// Live lists the peers whose heartbeats have not lapsed and that are not leaving, by id.
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

// LiveCount is the number of peers that Live lists.
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

// live reports whether a peer's heartbeats have not lapsed and it is not leaving. The caller
// holds the lock.
func (v *View) live(h lastHeartbeat) bool {
	return !h.peer.Leaving && time.Since(h.at) < v.lapse
}

// FleetSize is the number of entry boxes that share the fleet's limits, this one included: by the
// source that has more, so that a box takes too small a share of a limit rather than too large a one.
func (v *View) FleetSize() int {
	return max(len(v.Entries()), v.LiveCount()) + 1
}

// Size is the number of boxes of all kinds in the list; 0 means that no list has come yet.
func (v *View) Size() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.list.Boxes)
}

// IsLeaving reports whether an upstream announced itself that it leaves.
func (v *View) IsLeaving(upstream string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving[upstream]
}
