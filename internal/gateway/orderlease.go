package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

const (
	// marginsPerTTL is the order lease's TTL by its margin.
	marginsPerTTL = 4
	// wakeSpread spreads the machines that see the order lease free, so that one takes it.
	wakeSpread = 250 * time.Millisecond
	// relaysFirst is by how much longer machines wait in a large fleet that are no relays: relays
	// know already what is asked for, and are the stronger machines.
	relaysFirst = 400 * time.Millisecond
	// leaseCheck is how often a holder looks whether it should resign.
	leaseCheck = 250 * time.Millisecond
	// fadingTime is how long a holder may be without a renewal, while others reach the store,
	// before it resigns. Renewals are a third of the TTL apart.
	fadingTime = 2500 * time.Millisecond
)

func (n *Node) orderKey() string { return n.config.Platform.OwnPrefix + orderPart }

// orderLeaseFree tells whether the order lease is this machine's to take, as far as is known.
func (n *Node) orderLeaseFree() bool {
	if n.leaving.Load() {
		return false
	}
	state := n.mirror.State()
	if state.Revision == 0 {
		return false
	}
	record, held := state.Records[n.orderKey()]
	return !held || string(record.Value) == n.config.Name
}

// wakeLease has the order lease contended for, after a moment that differs between machines.
func (n *Node) wakeLease() {
	wait := rand.N(wakeSpread)
	if n.members.FollowsRelay() {
		wait += relaysFirst
	}
	time.AfterFunc(wait, func() {
		select {
		case n.leaseWake <- struct{}{}:
		default:
		}
	})
}

// orderTerm returns the term under which this machine may give orders at this moment.
func (n *Node) orderTerm() (int64, error) {
	term, err := n.lease.Term()
	if err != nil {
		// The lease ran out. If no machine reaches the store, none can have taken it.
		term = n.lease.Claim().Term
		if term == 0 || !n.members.StoreLostByAll() {
			return 0, errors.WithType(err, residency.ErrNotHolder)
		}
	}
	if !n.turn.isOpen(term) {
		return 0, residency.ErrWaiting
	}
	return term, nil
}

// storeLost tells whether this machine could not reach the store at its last tries.
func (n *Node) storeLost() bool {
	return n.mirror.Lost()
}

// watchLease has this machine resign when it can't renew the order lease and others could.
func (n *Node) watchLease(ctx context.Context) {
	for pause.For(ctx, leaseCheck) == nil {
		claim := n.lease.Claim()
		if claim.Term == 0 || time.Since(claim.Renewed) < fadingTime {
			continue
		}
		address, ok := n.members.ReachesStore()
		if !ok {
			continue
		}
		id := n.lease.Resign()
		n.config.Log.Warn("order lease resigned", zap.Int64("term", claim.Term), zap.Duration("unrenewed", time.Since(claim.Renewed)), zap.String("peer", address))
		n.revokeBy(ctx, address, id)
	}
}

// revokeBy has a peer revoke a lease.
func (n *Node) revokeBy(ctx context.Context, address string, id kv.LeaseID) {
	callCtx, cancel := context.WithTimeout(ctx, cluster.CallTimeout)
	defer cancel()
	_, err := peer.Call[peer.Empty](callCtx, n.client, address, methodRevoke, revokeRequest{Lease: id})
	if err != nil {
		n.config.Log.Info("order lease not revoked: it runs out", logfield.Error(err))
	}
}

// answerRevoke revokes a lease for a peer that does not reach the store.
func (n *Node) answerRevoke(ctx context.Context, request revokeRequest) (peer.Empty, error) {
	return peer.Empty{}, n.config.Platform.Store.Revoke(ctx, request.Lease)
}

// answerYield stops this machine's orders under older terms, and tells when the last were given.
func (n *Node) answerYield(_ context.Context, request yieldRequest) (yieldAnswer, error) {
	n.lease.Abandon(request.Term)
	n.config.Log.Info("orders yielded", zap.Int64("term", request.Term), zap.String("to", request.To))
	return n.turn.lastOrders(n.controller.LastOrders()), nil
}
