package box

import (
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// fullHeartbeatEvery is how many heartbeats there are for each full one, which carries the generations of all
// records. The others carry only what has changed. This takes 3991 instead of 5672 B/s per box with 16 boxes.
const fullHeartbeatEvery = 8

// lastHeartbeat is what earlier heartbeats carried, so that the next one can carry only what has changed. Only the
// heartbeat loop uses it.
type lastHeartbeat struct {
	sent        map[string]int64
	generations map[string]records.Generation
	count       int
}

func newLastHeartbeat() *lastHeartbeat {
	return &lastHeartbeat{sent: map[string]int64{}, generations: map[string]records.Generation{}}
}

// nextMessage returns a heartbeat that describes this box and what has changed since the last one. One heartbeat in
// fullHeartbeatEvery carries all generations, for boxes that missed an earlier one.
func (h *heartbeats) nextMessage(last *lastHeartbeat) peer.Heartbeat {
	message := peer.Heartbeat{
		Peer:        h.self.peer(),
		Generations: map[string]records.Generation{},
		Sent:        map[string]int64{},
		Leaving:     h.members.view.AnnouncedLeaving(),
		Full:        last.count%fullHeartbeatEvery == 0,
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

// isStarting reports whether a heartbeat comes from a box that does not know the bundles in force yet.
func isStarting(message peer.Heartbeat) bool {
	_, ok := message.Generations[bundle.TableKey]
	return !ok
}
