package box

import (
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// fullEvery is how many heartbeats there are to one with all generations. The others have only what changed: 3991
// instead of 5672 B/s a box with 16 boxes.
const fullEvery = 8

// lastHeartbeat is what earlier heartbeats carried, so that the next carries only what changed. The loop of
// heartbeats owns it.
type lastHeartbeat struct {
	sent        map[string]int64
	generations map[string]records.Generation
	count       int
}

func newLastHeartbeat() *lastHeartbeat {
	return &lastHeartbeat{sent: map[string]int64{}, generations: map[string]records.Generation{}}
}

// next describes this box, with what changed since the last heartbeat. Each fullEvery'th has all generations, for
// boxes that missed one.
func (h *heartbeats) next(last *lastHeartbeat) peer.Heartbeat {
	message := peer.Heartbeat{
		Peer:        h.self.peer(),
		Generations: map[string]records.Generation{},
		Sent:        map[string]int64{},
		Leaving:     h.members.view.AnnouncedLeaving(),
		Full:        last.count%fullEvery == 0,
	}
	last.count++
	for id, total := range h.router.Totals() {
		if last.sent[id] != total {
			message.Sent[id], last.sent[id] = total, total
		}
	}
	for name, generation := range h.cache.Generations(isShared) {
		if message.Full || last.generations[name] != generation || isUrgent(name) {
			message.Generations[name], last.generations[name] = generation, generation
		}
	}
	return message
}

// isStarting reports whether a heartbeat comes from a box that does not know what is in force yet.
func isStarting(message peer.Heartbeat) bool {
	_, ok := message.Generations[bundle.TableKey]
	return !ok
}
