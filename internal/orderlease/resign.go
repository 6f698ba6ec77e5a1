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
	// resignCheck is how often a holder looks whether it should resign.
	resignCheck = 250 * time.Millisecond
	// resignAfter is how long a holder may be without a renewal, while others reach the store,
	// before it resigns. Renewals are a third of the TTL apart.
	resignAfter = 2500 * time.Millisecond
)

// ResignWhenCutOff has this box resign when it can't renew the lease and another box could, until
// ctx ends.
func (l *Lease) ResignWhenCutOff(ctx context.Context) {
	for pause.For(ctx, resignCheck) == nil {
		claim := l.lease.Status()
		if claim.Term == 0 || time.Since(claim.LastRenewal) < resignAfter {
			continue
		}
		address, ok := l.Peers.ReachesStore()
		if !ok {
			continue
		}
		id := l.lease.Resign()
		l.Log.Warn("order lease resigned", zap.Int64("term", claim.Term), zap.Duration("unrenewed", time.Since(claim.LastRenewal)), zap.String("peer", address))
		l.revokeBy(ctx, address, id)
	}
}

// revokeBy has another box revoke a lease of the store.
func (l *Lease) revokeBy(ctx context.Context, address string, id kv.LeaseID) {
	callCtx, cancel := context.WithTimeout(ctx, cluster.CallTimeout)
	defer cancel()
	_, err := peer.Call[peer.Empty](callCtx, l.Client, address, methodRevoke, revokeRequest{Lease: id})
	if err != nil {
		l.Log.Info("order lease not revoked: it expires by itself", logfield.Error(err))
	}
}

// answerRevoke revokes a lease of the store for a box that does not reach it.
func (l *Lease) answerRevoke(ctx context.Context, request revokeRequest) (peer.Empty, error) {
	return peer.Empty{}, l.Store.Revoke(ctx, request.Lease)
}
