package box

import (
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"ospreymoor.example/ospreymoor/pkg/membership"
)

// self describes this box to its peers, to the control of the fleet and to the balancer.
type self struct {
	// id is the box's name in the platform's box list.
	id   string
	hall string
	// address is where peers reach the box.
	address string
	// incarnation is new at each start of the box.
	incarnation string
	started     time.Time
	// draining is set once, when a planned stop begins.
	draining atomic.Bool
	// storeReachable is whether the last call of the key-value service was answered.
	storeReachable atomic.Bool
}

func newSelf(id, hall, address string) *self {
	return &self{id: id, hall: hall, address: address, incarnation: uuid.NewString(), started: time.Now()}
}

// peer returns this box as its peers know it.
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
