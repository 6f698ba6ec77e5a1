package cluster

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/customers"
)

// Quotas sends requests for customers' quotas to their keepers, and answers for the quotas that this box keeps.
type Quotas struct {
	Members *Members
	Client  *peer.Client
	Keeper  *customers.Keeper
	Log     *zap.Logger

	// reportInvalid logs the first list of classes that can't be used.
	reportInvalid sync.Once
}

// Handle registers the method by which other boxes spend from the accounts that this box keeps.
func (q *Quotas) Handle(server *peer.Server) { peer.Handle(server, methodSpend, q.answer) }

// Ask sends a request to the keeper of an account, which may be this box. The error is errKeeperLost or that of the
// call.
func (q *Quotas) Ask(ctx context.Context, request customers.SpendRequest) (customers.Grant, error) {
	keeper := q.keeperOf(request)
	if keeper.Name == q.Members.self.Name {
		return q.answer(ctx, request)
	}
	call := keeperCall{Members: q.Members, Client: q.Client, Log: q.Log, Method: methodSpend, Keeper: keeper}
	return callKeeper[customers.Grant](ctx, call, request)
}

// keeperOf returns the keeper of the account that the request is for.
func (q *Quotas) keeperOf(request customers.SpendRequest) Box {
	switch request.Scope {
	case customers.FleetScope:
		return q.Members.keeperOf(request.Customer)
	case customers.HallScope:
		return q.Members.hallKeeper()
	}
	return q.Members.self
}

// answer spends from an account that this box keeps.
func (q *Quotas) answer(_ context.Context, request customers.SpendRequest) (customers.Grant, error) {
	now := time.Now()
	if !request.Classes.Valid(len(request.Costs)) {
		q.reportInvalid.Do(func() {
			q.Log.Warn("classes of a quota unusable", zap.String("customer", request.Customer), zap.Int("costs", len(request.Costs)))
		})
	}
	return q.Keeper.Spend(request, q.share(request.Scope, now), now), nil
}

// share returns the share of a customer's limit that an account of a scope holds at this box.
func (q *Quotas) share(scope customers.Scope, now time.Time) float64 {
	switch scope {
	case customers.FleetScope:
		return q.Members.reachableShare(now)
	case customers.HallScope:
		return q.Members.hallShare(now)
	}
	return 1 / float64(q.Members.Boxes())
}
