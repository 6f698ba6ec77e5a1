package box

import (
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"ospreymoor.example/ospreymoor/pkg/membership"
)

// self is this box as it describes itself to its peers, to control and to the balancer.
type self struct {
	// id is the box's name in the platform's box list.
	id   string
	hall string
	// address is where peers reach the box.
	address string
	// incarnation is new with each start.
	incarnation string
	started     time.Time
	// draining is set once, when a planned stop begins.
	draining atomic.Bool
	// storeReachable is whether the last call of the key-value service got an answer.
	storeReachable atomic.Bool
}

func newSelf(id, hall, address string) *self {
	return &self{id: id, hall: hall, address: address, incarnation: uuid.NewString(), started: time.Now()}
}

// peer describes this box to its peers.
func (s *self) peer() membership.Peer {
	return membership.Peer{
		ID:          s.id,
		Incarnation: s.incarnation,
		Hall:        s.hall,
		Address:     s.address,
		Leaving:     s.draining.Load(),
		Store:       s.storeReachable.Load(),
	}
}
