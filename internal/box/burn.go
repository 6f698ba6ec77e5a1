package box

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

const (
	// burnInterval is how often a box gives its counters to others to keep.
	burnInterval = 15 * time.Second
	// burnKeepers is how many boxes keep another's counters.
	burnKeepers = 2
)

// keepBurn gives this box's counters to a few others, so that they outlive it.
func (b *Box) keepBurn(ctx context.Context) {
	for pause(ctx, jitter(burnInterval)) {
		b.pushBurn(ctx)
	}
}

func (b *Box) pushBurn(ctx context.Context) {
	live := b.view.Live()
	addresses := map[string]string{}
	ids := make([]string, 0, len(live))
	for _, p := range live {
		ids = append(ids, p.ID)
		addresses[p.ID] = p.Address
	}
	request := peer.KeepBurnRequest{Snapshot: b.burn.Snapshot()}
	ranked := membership.Rank("burn/"+b.config.ID, ids)
	for _, id := range ranked[:min(burnKeepers, len(ranked))] {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTime)
		_, err := peer.Call[peer.Empty](callCtx, b.peers, addresses[id], peer.MethodKeepBurn, request)
		cancel()
		if err != nil {
			b.set.GetOrCreateCounter("ospreymoor_burn_keep_failures_total").Inc()
		}
	}
}
