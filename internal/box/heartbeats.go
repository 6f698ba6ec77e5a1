package box

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/records"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

const (
	// heartbeatsPerSecond bounds the heartbeats that a box sends per second, so that boxes of a large hall send
	// them at a longer interval. What heartbeats cost is in docs/CAPACITY.md.
	heartbeatsPerSecond = 24
	// maxMissedHeartbeats is how many heartbeats a peer can miss before it counts as gone.
	maxMissedHeartbeats = 5
	// earlyHeartbeatDivisor sets when an early heartbeat goes out: after the interval divided by this number.
	earlyHeartbeatDivisor = 4
	// remoteLoadsMaxAge is how old the loads of another hall get before they are fetched again.
	remoteLoadsMaxAge = 5 * time.Second
)

// heartbeats sends this box's heartbeats and processes those of others. Heartbeats state which boxes are live, which
// records they hold, what they sent to engines, and which upstreams are leaving.
type heartbeats struct {
	self    *self
	members *members
	// interval is the shortest time between two heartbeats.
	interval time.Duration
	// knownPeers lists the addresses to call while no box list is known.
	knownPeers []string
	router     *routing.Router
	cache      *records.Cache
	fleet      *fleetState
	fetcher    *recordFetcher
	peers      *peer.Client
	set        *metrics.Set
	// sendSoon is signalled when a heartbeat should go out before the interval ends.
	sendSoon chan struct{}
	// fetching holds the names of records that are being fetched.
	fetching sync.Map
}

// heartbeatTiming returns the time between heartbeats, and the time after which a silent peer counts as gone. The
// interval is the configured one, or longer if that many targets would take more than heartbeatsPerSecond. A peer
// counts as gone after maxMissedHeartbeats intervals.
func heartbeatTiming(configured time.Duration, targets int) (interval, peerTimeout time.Duration) {
	interval = max(configured, time.Duration(targets)*time.Second/heartbeatsPerSecond)
	return interval, maxMissedHeartbeats * interval
}

// run sends heartbeats until ctx ends.
func (h *heartbeats) run(ctx context.Context) {
	sent := newLastHeartbeat()
	for {
		targets := h.targets()
		message := h.nextMessage(sent)
		for _, address := range targets {
			go h.send(ctx, address, message)
		}
		interval, peerTimeout := heartbeatTiming(h.interval, len(targets))
		h.members.view.SetPeerTimeout(peerTimeout)
		select {
		case <-h.sendSoon:
			// Send early, but at most earlyHeartbeatDivisor times per interval.
			pause(ctx, jitter(interval/earlyHeartbeatDivisor))
		case <-time.After(jitter(interval)):
		case <-ctx.Done():
			return
		}
	}
}

// send sends one heartbeat. The other box answers with its own, so that both learn of each other even if only one has
// the other's address.
func (h *heartbeats) send(ctx context.Context, address string, message peer.Heartbeat) {
	answer, err := callPeer[peer.Heartbeat](ctx, h.peers, address, peer.MethodHeartbeat, message)
	if err != nil {
		h.set.GetOrCreateCounter("ospreymoor_beat_failures_total").Inc()
		return
	}
	if answer.Peer.ID != "" {
		h.apply(answer)
	}
}

// apply processes a heartbeat and fetches the records of which its sender has a newer generation.
func (h *heartbeats) apply(message peer.Heartbeat) {
	h.members.view.RecordHeartbeat(message.Peer)
	h.fleet.sent.update(message.Peer.Incarnation, message.Sent)
	for _, id := range message.Leaving {
		h.members.view.MarkLeaving(id)
	}
	var names []string
	for _, name := range h.cache.Behind(message.Generations) {
		if !h.mayFetch(name) {
			continue
		}
		if _, busy := h.fetching.LoadOrStore(name, true); !busy {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		go h.fetch(message.Peer.Address, names)
	}
}

// fetch fetches records from the sender of a heartbeat.
func (h *heartbeats) fetch(address string, names []string) {
	defer func() {
		for _, name := range names {
			h.fetching.Delete(name)
		}
	}()
	h.fetcher.fetch(context.Background(), address, names)
}

// mayFetch reports whether a newer record should be fetched now. The loads of other halls change all the time, so
// they are fetched only when the ones here are older than remoteLoadsMaxAge.
func (h *heartbeats) mayFetch(name string) bool {
	hall, isLoads := strings.CutPrefix(name, loadsPrefix)
	if !isLoads || hall == h.self.hall {
		return true
	}
	return h.fleet.loads.age(name) > remoteLoadsMaxAge
}

// handleHeartbeat processes a heartbeat and replies with this box's own. A box of the same hall gets an empty
// reply, since this box sends it heartbeats anyway. Only a full heartbeat or a starting box gets all generations in
// the reply.
func (h *heartbeats) handleHeartbeat(_ context.Context, message peer.Heartbeat) (peer.Heartbeat, error) {
	h.apply(message)
	starting := isStarting(message)
	if message.Peer.Hall == h.self.hall && !starting {
		return peer.Heartbeat{}, nil
	}
	reply := peer.Heartbeat{Peer: h.self.peer(), Leaving: h.members.view.AnnouncedLeaving()}
	reply.Generations = h.cache.Generations(func(name string) bool {
		return isUrgent(name) || (isShared(name) && (starting || message.Full))
	})
	return reply, nil
}

// bridgesPerHall is how many boxes of a hall send heartbeats to another hall, and to how many boxes there.
const bridgesPerHall = 2

// targets lists the peer addresses that get a heartbeat: all boxes of the hall and, if this box is one of its hall's
// bridges to another hall, a few boxes there.
func (h *heartbeats) targets() []string {
	entries := h.members.view.Entries()
	if len(entries) == 0 {
		return h.knownPeers
	}
	var targets []string
	remoteIDs := map[string][]string{}
	addresses := map[string]string{}
	for _, box := range entries {
		if box.Hall == h.self.hall {
			targets = append(targets, box.Address)
			continue
		}
		remoteIDs[box.Hall] = append(remoteIDs[box.Hall], box.ID)
		addresses[box.ID] = box.Address
	}
	for hall, ids := range remoteIDs {
		if !membership.IsAmongFirst("bridge/"+hall, h.members.inHall(), h.self.id, bridgesPerHall) {
			continue // Other boxes of this hall exchange heartbeats with that one, and pass on what they learn.
		}
		ranked := membership.Rank(h.self.id, ids)
		for _, id := range ranked[:min(bridgesPerHall, len(ranked))] {
			targets = append(targets, addresses[id])
		}
	}
	return targets
}
