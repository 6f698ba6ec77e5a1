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
	// heartbeatsPerSecond bounds the heartbeats that a box sends, so that a large hall sends them less often.
	// What it costs is in docs/CAPACITY.md.
	heartbeatsPerSecond = 24
	// heartbeatsToSilence is how many heartbeats are missed before a peer counts as gone.
	heartbeatsToSilence = 5
	// soonShare is the share of the interval after which an early heartbeat goes out.
	soonShare = 4
	// farLoadsAge is how old another hall's loads get before they are fetched anew.
	farLoadsAge = 5 * time.Second
)

// heartbeats sends this box's heartbeats and takes in those of others: which boxes live, which records they hold,
// what they sent to engines, and which upstreams are leaving.
type heartbeats struct {
	self    *self
	members *members
	// interval is the least time between two heartbeats.
	interval time.Duration
	// known are addresses to call while no box list is known.
	known   []string
	router  *routing.Router
	cache   *records.Cache
	fleet   *fleetState
	fetcher *recordFetcher
	peers   *peer.Client
	set     *metrics.Set
	// soon is signalled when something is to go out before the interval ends.
	soon chan struct{}
	// fetching holds the names of records that are being fetched.
	fetching sync.Map
}

// heartbeatTiming is the rule for the time between heartbeats: the interval set, longer if so many targets would make
// more than heartbeatsPerSecond; a peer counts as gone after heartbeatsToSilence of them.
func heartbeatTiming(set time.Duration, targets int) (interval, silence time.Duration) {
	interval = max(set, time.Duration(targets)*time.Second/heartbeatsPerSecond)
	return interval, heartbeatsToSilence * interval
}

// run sends heartbeats until ctx ends.
func (h *heartbeats) run(ctx context.Context) {
	sent := newLastHeartbeat()
	for {
		targets := h.targets()
		message := h.next(sent)
		for _, address := range targets {
			go h.send(ctx, address, message)
		}
		interval, silence := heartbeatTiming(h.interval, len(targets))
		h.members.view.SetLapse(silence)
		select {
		case <-h.soon:
			// At once, but no more often than soonShare times an interval.
			pause(ctx, jitter(interval/soonShare))
		case <-time.After(jitter(interval)):
		case <-ctx.Done():
			return
		}
	}
}

// send sends one heartbeat. Its answer is the other box's own, so that both learn of each other even if only one has
// the other's address.
func (h *heartbeats) send(ctx context.Context, address string, message peer.Heartbeat) {
	answer, err := callPeer[peer.Heartbeat](ctx, h.peers, address, peer.MethodHeartbeat, message)
	if err != nil {
		h.set.GetOrCreateCounter("ospreymoor_beat_failures_total").Inc()
		return
	}
	if answer.Peer.ID != "" {
		h.take(answer)
	}
}

// take takes a heartbeat in, and fetches the records of which its sender has a newer generation.
func (h *heartbeats) take(message peer.Heartbeat) {
	h.members.view.Heartbeat(message.Peer)
	h.fleet.sent.take(message.Peer.Incarnation, message.Sent)
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

// mayFetch reports whether a newer record should be fetched now: loads of other halls, which change all the time,
// only when farLoadsAge old.
func (h *heartbeats) mayFetch(name string) bool {
	hall, isLoads := strings.CutPrefix(name, loadsPrefix)
	if !isLoads || hall == h.self.hall {
		return true
	}
	return h.fleet.loads.age(name) > farLoadsAge
}

// answer takes a heartbeat in and replies with this box's own; a box of the same hall gets an empty reply, since this
// box sends it heartbeats anyway. The reply has all generations only for a full heartbeat or a box that is starting.
func (h *heartbeats) answer(_ context.Context, message peer.Heartbeat) (peer.Heartbeat, error) {
	h.take(message)
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

// bridges is how many boxes of a hall send heartbeats to another hall, and to how many there.
const bridges = 2

// targets lists the peer addresses that get a heartbeat: all boxes of the hall and, from the hall's bridges, a few
// of each other hall.
func (h *heartbeats) targets() []string {
	entries := h.members.view.Entries()
	if len(entries) == 0 {
		return h.known
	}
	var targets []string
	far := map[string][]string{}
	addresses := map[string]string{}
	for _, box := range entries {
		if box.Hall == h.self.hall {
			targets = append(targets, box.Address)
			continue
		}
		far[box.Hall] = append(far[box.Hall], box.ID)
		addresses[box.ID] = box.Address
	}
	for hall, ids := range far {
		if !membership.Among("bridge/"+hall, h.members.inHall(), h.self.id, bridges) {
			continue // Other boxes of this hall exchange heartbeats with that one, and pass on what they learn.
		}
		ranked := membership.Rank(h.self.id, ids)
		for _, id := range ranked[:min(bridges, len(ranked))] {
			targets = append(targets, addresses[id])
		}
	}
	return targets
}
