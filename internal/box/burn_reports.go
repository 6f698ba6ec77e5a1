package box

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/burn"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

const (
	// burnInterval is how often a box sends its counters to the boxes that keep them.
	burnInterval = 15 * time.Second
	// burnKeepers is how many boxes keep the counters of another.
	burnKeepers = 2
)

// burnReports owns this box's counters for the burn report, and the copies of other boxes' counters that it keeps.
type burnReports struct {
	self     *self
	view     *membership.View
	recorder *burn.Recorder
	keeper   *burn.SnapshotStore
	peers    *peer.Client
	set      *metrics.Set
}

// run sends this box's counters to its keepers periodically until ctx ends, so that the counters outlive the box.
func (r *burnReports) run(ctx context.Context) {
	for pause(ctx, jitter(burnInterval)) {
		r.push(ctx)
	}
}

// push sends this box's counters to its keepers, which are the first of the live boxes by rendezvous hashing.
func (r *burnReports) push(ctx context.Context) {
	live := r.view.Live()
	addresses := map[string]string{}
	ids := make([]string, 0, len(live))
	for _, p := range live {
		ids = append(ids, p.ID)
		addresses[p.ID] = p.Address
	}
	request := peer.KeepBurnRequest{Snapshot: r.recorder.Snapshot()}
	ranked := membership.Rank("burn/"+r.self.id, ids)
	for _, id := range ranked[:min(burnKeepers, len(ranked))] {
		if _, err := callPeer[peer.Empty](ctx, r.peers, addresses[id], peer.MethodKeepBurn, request); err != nil {
			r.set.GetOrCreateCounter("ospreymoor_burn_keep_failures_total").Inc()
		}
	}
}

// handleKeepBurn stores another box's counters.
func (r *burnReports) handleKeepBurn(_ context.Context, request peer.KeepBurnRequest) (peer.Empty, error) {
	r.keeper.Keep(request.Snapshot)
	return peer.Empty{}, nil
}

// snapshots returns the counters on this box: its own, and the copies of other boxes' counters.
func (r *burnReports) snapshots() []burn.Snapshot {
	return append(r.keeper.Snapshots(), r.recorder.Snapshot())
}

// handleBurn answers another box with the counters on this box.
func (r *burnReports) handleBurn(context.Context, peer.Empty) (peer.BurnResponse, error) {
	return peer.BurnResponse{Snapshots: r.snapshots()}, nil
}

// gather collects the counters of all boxes and the copies that they keep. It also returns the boxes that answered
// and those that did not.
func (r *burnReports) gather(ctx context.Context) (snapshots []burn.Snapshot, boxes, missing []string) {
	snapshots = r.snapshots()
	boxes = []string{r.self.id}
	for _, entry := range r.view.Entries() {
		answer, err := callPeer[peer.BurnResponse](ctx, r.peers, entry.Address, peer.MethodBurn, peer.Empty{})
		if err != nil {
			missing = append(missing, entry.ID)
			continue
		}
		boxes = append(boxes, entry.ID)
		snapshots = append(snapshots, answer.Snapshots...)
	}
	return snapshots, boxes, missing
}
