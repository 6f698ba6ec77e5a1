package orderlease

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

const (
	// resignCheckInterval is how often a holder checks whether it should resign.
	resignCheckInterval = 250 * time.Millisecond
	// resignAfter is how long after its last renewal a holder resigns if another box reaches the store. Renewals are
	// a third of the TTL apart.
	resignAfter = 2500 * time.Millisecond
	// resignCutOffAfter is how long a holder reaches no engine before it resigns. Another box may give orders some seconds
	// after it, which a shorter cut is not worth.
	resignCutOffAfter = time.Second
)

// ResignWhenCutOff makes this box resign when it can't renew the lease and another box reaches the store, or when it
// reaches no engine while others do. It runs until ctx ends.
func (l *Lease) ResignWhenCutOff(ctx context.Context) {
	for pause.For(ctx, resignCheckInterval) == nil {
		l.handover.noteEpoch()
		if l.outlived() {
			l.wakeUp()
		}
		status := l.lease.Status()
		if cutOff := l.CutOff(); status.Term != 0 && cutOff >= resignCutOffAfter {
			l.resignCutOff(ctx, status.Term, cutOff)
			continue
		}
		if status.Term == 0 || time.Since(status.LastRenewal) < resignAfter {
			continue
		}
		address, ok := l.Peers.ReachesStore()
		if !ok {
			continue
		}
		id := l.lease.Resign()
		l.handover.forgetOrders()
		l.Log.Warn("order lease resigned", zap.Int64("term", status.Term), zap.Duration("unrenewed", time.Since(status.LastRenewal)), zap.String("peer", address))
		l.revokeThrough(ctx, address, id)
	}
}

// resignCutOff gives up the lease of a box that reaches no engine, and revokes it in the store.
func (l *Lease) resignCutOff(ctx context.Context, term int64, cutOff time.Duration) {
	id := l.lease.Resign()
	l.handover.forgetOrders()
	l.Log.Warn("order lease resigned: no links to engines", zap.Int64("term", term), zap.Duration("cutOff", cutOff))
	callCtx, cancel := context.WithTimeout(ctx, cluster.CallTimeout)
	defer cancel()
	if err := l.Store.Revoke(callCtx, id); err != nil {
		l.Log.Info("order lease not revoked: it expires by itself", logfield.Error(err))
	}
}

// revokeThrough asks another box to revoke a lease in the store.
func (l *Lease) revokeThrough(ctx context.Context, address string, id kv.LeaseID) {
	callCtx, cancel := context.WithTimeout(ctx, cluster.CallTimeout)
	defer cancel()
	_, err := peer.Call[peer.Empty](callCtx, l.Client, address, methodRevoke, revokeRequest{Lease: id.Number, Epoch: id.Epoch})
	if err != nil {
		l.Log.Info("order lease not revoked: it expires by itself", logfield.Error(err))
	}
}

// handleRevoke revokes a lease in the store for a box that does not reach the store.
func (l *Lease) handleRevoke(ctx context.Context, request revokeRequest) (peer.Empty, error) {
	return peer.Empty{}, l.Store.Revoke(ctx, kv.LeaseID{Number: request.Lease, Epoch: request.Epoch})
}
