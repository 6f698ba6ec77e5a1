package box

import (
	"context"
	"strings"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/records"
)

const (
	// beatsPerSecond bounds the heartbeats that a box sends, so that a large hall beats slower.
	beatsPerSecond = 24
	// fullBeats is after how many beats one tells all generations again.
	fullBeats = 8
	// beatsToSilence is how many beats are missed before a peer counts as gone.
	beatsToSilence = 5
	// bridges is how many boxes of a hall beat to another hall, and to how many there.
	bridges = 2
	// farLoadsAge is how old another hall's loads get before they are fetched anew.
	farLoadsAge = 5 * time.Second
)

// beat sends heartbeats: to all boxes of the hall, and from a few of them to a few of each
// other hall.
func (b *Box) beat(ctx context.Context) {
	said := newSaid()
	for {
		targets := b.beatTargets()
		message := b.newBeat(said)
		for _, address := range targets {
			go b.beatTo(ctx, address, message)
		}
		interval := max(b.config.BeatInterval, time.Duration(len(targets))*time.Second/beatsPerSecond)
		b.view.SetSilence(beatsToSilence * interval)
		select {
		case <-b.beatNow:
			// News goes out at once, but no more often than a quarter of the interval.
			pause(ctx, jitter(interval/4))
		case <-time.After(jitter(interval)):
		case <-ctx.Done():
			return
		}
	}
}

// beatTargets lists the peer addresses to beat to.
func (b *Box) beatTargets() []string {
	entries := b.view.Entries()
	if len(entries) == 0 {
		return b.config.Peers
	}
	var targets []string
	far := map[string][]string{}
	addresses := map[string]string{}
	for _, box := range entries {
		if box.Hall == b.config.Hall {
			targets = append(targets, box.Address)
			continue
		}
		far[box.Hall] = append(far[box.Hall], box.ID)
		addresses[box.ID] = box.Address
	}
	for hall, ids := range far {
		if !membership.Among("bridge/"+hall, b.members.inHall(), b.config.ID, bridges) {
			continue // Others of this hall talk to that one, and tell.
		}
		ranked := membership.Rank(b.config.ID, ids)
		for _, id := range ranked[:min(bridges, len(ranked))] {
			targets = append(targets, addresses[id])
		}
	}
	return targets
}

// said remembers what earlier beats have told, so that a beat tells only what changed.
type said struct {
	sent        map[string]int64
	generations map[string]records.Generation
	beats       int
}

func newSaid() *said {
	return &said{sent: map[string]int64{}, generations: map[string]records.Generation{}}
}

// newBeat describes this box, with what changed since the last beat, and now and then with
// all generations, for those that missed a beat.
func (b *Box) newBeat(s *said) peer.Heartbeat {
	beat := peer.Heartbeat{
		Peer:        b.self.peer(),
		Generations: map[string]records.Generation{},
		Sent:        map[string]int64{},
		Leaving:     b.view.MarkedLeaving(),
	}
	for id, total := range b.router.Totals() {
		if s.sent[id] != total {
			beat.Sent[id], s.sent[id] = total, total
		}
	}
	beat.Full = s.beats%fullBeats == 0
	s.beats++
	for name, generation := range b.cache.Generations(isShared) {
		// What must be everywhere within seconds is told each time.
		if beat.Full || s.generations[name] != generation || isUrgent(name) {
			beat.Generations[name], s.generations[name] = generation, generation
		}
	}
	return beat
}

func (b *Box) beatTo(ctx context.Context, address string, message peer.Heartbeat) {
	// Each side learns of the other from one exchange, also when only one has the other's address.
	answer, err := peer.Call[peer.Heartbeat](ctx, b.peers, address, peer.MethodHeartbeat, message)
	if err != nil {
		b.set.GetOrCreateCounter("ospreymoor_beat_failures_total").Inc()
		return
	}
	if answer.Peer.ID != "" {
		b.hear(answer)
	}
}

// hear takes a beat in, and fetches what its sender has newer.
func (b *Box) hear(beat peer.Heartbeat) {
	b.view.Hear(beat.Peer)
	b.fleet.sent.take(beat.Peer.Incarnation, beat.Sent)
	for _, id := range beat.Leaving {
		b.view.MarkLeaving(id)
	}
	var names []string
	for _, name := range b.cache.Behind(beat.Generations) {
		if !b.wantsFrom(name) {
			continue
		}
		if _, busy := b.fetching.LoadOrStore(name, true); !busy {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		go b.fetchNews(beat.Peer.Address, names)
	}
}

func (b *Box) fetchNews(address string, names []string) {
	defer func() {
		for _, name := range names {
			b.fetching.Delete(name)
		}
	}()
	b.fetcher.fetch(context.Background(), address, names)
}

// wantsFrom tells whether a newer record should be fetched now: loads of other halls,
// which change all the time, only now and then.
func (b *Box) wantsFrom(name string) bool {
	hall, isLoads := strings.CutPrefix(name, loadsPrefix)
	if !isLoads || hall == b.config.Hall {
		return true
	}
	return b.fleet.loads.age(name) > farLoadsAge
}

// handlePeers answers the calls of other boxes.
func (b *Box) handlePeers() {
	peer.Handle(b.server, peer.MethodHeartbeat, b.answerBeat)
	peer.Handle(b.server, peer.MethodRecords, b.fetcher.answer)
	peer.Handle(b.server, peer.MethodOutcome, b.claimed.outcomes.answerPeer)
	peer.Handle(b.server, peer.MethodDemand, func(_ context.Context, d peer.Demand) (peer.Empty, error) {
		b.demand.hear(d)
		return peer.Empty{}, nil
	})
	peer.Handle(b.server, peer.MethodKeepBurn, func(_ context.Context, q peer.KeepBurnRequest) (peer.Empty, error) {
		b.keeper.Keep(q.Snapshot)
		return peer.Empty{}, nil
	})
	peer.Handle(b.server, peer.MethodBurn, func(context.Context, peer.Empty) (peer.BurnResponse, error) {
		return peer.BurnResponse{Snapshots: append(b.keeper.Snapshots(), b.burn.Snapshot())}, nil
	})
}

// answerBeat takes a beat in and replies with this box's own; but for a box of the same
// hall, which gets our beats anyway. The reply tells all generations only to a full beat or
// to a box that is starting up.
func (b *Box) answerBeat(_ context.Context, beat peer.Heartbeat) (peer.Heartbeat, error) {
	b.hear(beat)
	starting := startingUp(beat)
	if beat.Peer.Hall == b.config.Hall && !starting {
		return peer.Heartbeat{}, nil
	}
	reply := peer.Heartbeat{Peer: b.self.peer(), Leaving: b.view.MarkedLeaving()}
	reply.Generations = b.cache.Generations(func(name string) bool {
		return isUrgent(name) || (isShared(name) && (starting || beat.Full))
	})
	return reply, nil
}

// startingUp tells whether a beat comes from a box that has nothing to serve by yet.
func startingUp(beat peer.Heartbeat) bool {
	_, ok := beat.Generations[bundle.TableKey]
	return !ok
}
