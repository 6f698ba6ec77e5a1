// Package membership knows which boxes and upstreams there are.
//
// Two sources are joined: the platform's box list, which lags, and what was heard directly.
// Whatever either of them says is leaving gets nothing new.
package membership

import (
	"sort"
	"sync"
	"time"
)

// Kind says what runs on a box.
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
	Leaving bool   `json:"leaving,omitempty"`
	// Fenced upstreams check who gives them an order.
	Fenced bool `json:"fenced,omitempty"`
	// Memory of an engine for models, in bytes.
	Memory int64 `json:"memory,omitempty"`
	// Slots is how many requests an engine runs at once at full speed.
	Slots int `json:"slots,omitempty"`
}

// List is the platform's box list at one moment.
type List struct {
	// Generation grows with each change.
	Generation int64 `json:"generation"`
	Boxes      []Box `json:"boxes"`
}

// Peer is another entry box as it was last heard.
type Peer struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Hall        string `json:"hall"`
	Address     string `json:"address"`
	Leaving     bool   `json:"leaving,omitempty"`
	// Store tells that the peer reaches the key-value service.
	Store bool `json:"store,omitempty"`
}

// View joins the box list and what was heard. It is safe for concurrent use.
type View struct {
	// Self is this box's id.
	Self string

	mu sync.Mutex
	// silence is after how long an unheard peer counts as gone.
	silence time.Duration
	list    List
	peers   map[string]heard
	// refused holds upstreams that said themselves that they leave, by box and incarnation.
	refused map[string]bool
}

type heard struct {
	peer Peer
	at   time.Time
}

const defaultSilence = 5 * time.Second

// NewView returns a view that knows nothing yet.
func NewView(self string) *View {
	return &View{Self: self, silence: defaultSilence, peers: map[string]heard{}, refused: map[string]bool{}}
}

// SetList takes a newer box list in.
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
	// A box that left the list and comes back is a new one.
	for id := range v.refused {
		if !known[id] {
			delete(v.refused, id)
		}
	}
}

// SetSilence sets after how long an unheard peer counts as gone: several times the interval of
// heartbeats, which large fleets make longer.
func (v *View) SetSilence(silence time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.silence = silence
}

// Hear takes in what a peer said of itself.
func (v *View) Hear(peer Peer) {
	if peer.ID == v.Self {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers[peer.ID] = heard{peer: peer, at: time.Now()}
}

// MarkLeaving notes that an upstream said itself that it takes nothing new.
// It tells whether that is news.
func (v *View) MarkLeaving(upstream string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.refused[upstream] {
		return false
	}
	v.refused[upstream] = true
	return true
}

// MarkStaying notes that an upstream has started anew and takes requests again.
func (v *View) MarkStaying(upstream string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.refused, upstream)
}

// MarkedLeaving lists the upstreams that said themselves that they leave.
func (v *View) MarkedLeaving() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids := make([]string, 0, len(v.refused))
	for id := range v.refused {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Upstreams lists the boxes of a kind, with Leaving set if any source says so.
func (v *View) Upstreams(kind Kind) []Box {
	v.mu.Lock()
	defer v.mu.Unlock()
	var boxes []Box
	for _, box := range v.list.Boxes {
		if box.Kind == kind {
			box.Leaving = box.Leaving || v.refused[box.ID]
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
		if box.Kind == KindEntry && box.ID != v.Self && !box.Leaving {
			boxes = append(boxes, box)
		}
	}
	return boxes
}

// Live lists the peers that were heard lately and are not leaving, by id.
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

// live tells whether a peer was heard lately and is not leaving. The caller holds the lock.
func (v *View) live(h heard) bool {
	return !h.peer.Leaving && time.Since(h.at) < v.silence
}

// FleetSize is the number of entry boxes that share the fleet's limits, this one included.
func (v *View) FleetSize() int {
	return max(len(v.Entries()), v.LiveCount()) + 1
}

// Size is the number of boxes in the list.
func (v *View) Size() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.list.Boxes)
}

// IsLeaving tells whether an upstream said itself that it leaves.
func (v *View) IsLeaving(upstream string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.refused[upstream]
}
