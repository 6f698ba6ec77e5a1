package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// rateTimeout bounds a call for a request to a bounded upstream, which its caller waits for.
const rateTimeout = 100 * time.Millisecond

// Rates asks the boxes that keep the accounts of upstreams to which few requests may go, and keeps those that fall to this box.
type Rates struct {
	Members   *Members
	Client    *peer.Client
	Directory *fleet.Directory
	Kept      *dispatch.RateAccounts
	Log       *zap.Logger
}

// Handle has a server answer for this box.
func (r *Rates) Handle(server *peer.Server) { peer.Handle(server, methodRate, r.answer) }

// Ask asks the keeper of an upstream, which may be this box. Where it does not answer, the hall's relay grants by the hall's part of a limit;
// a cold engine, which is so for some seconds, then gets nothing of this box. The error is errKeeperLost or that of the call.
func (r *Rates) Ask(ctx context.Context, ask dispatch.RateAsk) (dispatch.RateGrant, error) {
	if reports := r.Directory.LimitReports([]string{ask.Engine}); len(reports) > 0 {
		ask.Limit = &reports[0]
	}
	grant, err := r.askBox(ctx, r.Members.keeperOf(ask.Engine), ask)
	if err != nil && ask.ColdPerSecond == 0 {
		ask.Hall = true
		grant, err = r.askBox(ctx, r.Members.hallKeeper(), ask)
	}
	if err == nil && grant.Limit != nil {
		r.Directory.NoteLimits([]fleet.LimitReport{*grant.Limit})
	}
	return grant, err
}

func (r *Rates) askBox(ctx context.Context, keeper Box, ask dispatch.RateAsk) (dispatch.RateGrant, error) {
	if keeper.Name == r.Members.self.Name {
		return r.answer(ctx, ask)
	}
	call := keeperCall{Members: r.Members, Client: r.Client, Log: r.Log, Method: methodRate, Keeper: keeper, Timeout: rateTimeout}
	return askKeeper[dispatch.RateGrant](ctx, call, ask)
}

// answer grants a request out of an account that this box keeps, by the latest that either box knows of the upstream's limit.
func (r *Rates) answer(_ context.Context, ask dispatch.RateAsk) (dispatch.RateGrant, error) {
	if ask.Limit != nil {
		r.Directory.NoteLimits([]fleet.LimitReport{*ask.Limit})
	}
	known := r.Directory.LimitReports([]string{ask.Engine})
	if len(known) > 0 {
		ask.Limit = &known[0]
	}
	now := time.Now()
	grant := r.Kept.Ask(ask, r.share(ask, now), now)
	if len(known) > 0 {
		grant.Limit = &known[0]
	}
	return grant, nil
}

// share is the part of all boxes that an account is for.
func (r *Rates) share(ask dispatch.RateAsk, now time.Time) float64 {
	if ask.Hall {
		return r.Members.shareOfHall(now)
	}
	return r.Members.shareInTouch(now)
}
