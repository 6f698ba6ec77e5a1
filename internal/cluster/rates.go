package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// rateTimeout bounds a call for a request to a rate-limited upstream, because the request's caller waits for it.
const rateTimeout = 100 * time.Millisecond

// RateGrants requests grants for rate-limited upstreams from their keepers, and answers for the upstreams that this
// box is the keeper of.
type RateGrants struct {
	Members   *Members
	Client    *peer.Client
	Directory *fleet.Directory
	// Loads holds the requests in flight.
	Loads *dispatch.LoadTracker
	Kept  *dispatch.RateAccounts
	Log   *zap.Logger
}

// Handle registers the method by which other boxes request grants from this box.
func (r *RateGrants) Handle(server *peer.Server) { peer.Handle(server, methodRate, r.answer) }

// Ask requests a grant from the keeper of an upstream, which may be this box. If the keeper does not answer, the
// hall's relay grants from the hall's share of the limit. A cold engine, which is cold for some seconds only, then
// gets nothing from this box. The error is errKeeperLost or that of the call.
func (r *RateGrants) Ask(ctx context.Context, request dispatch.RateRequest) (dispatch.RateGrant, error) {
	if reports := r.Directory.LimitReports([]string{request.Engine}); len(reports) > 0 {
		request.Limit = &reports[0]
	}
	grant, err := r.askBox(ctx, r.Members.keeperOf(request.Engine), request)
	if err != nil && request.ColdPerSecond == 0 {
		request.Hall = true
		grant, err = r.askBox(ctx, r.Members.hallKeeper(), request)
	}
	if err == nil && grant.Limit != nil {
		r.Directory.ApplyLimitReports([]fleet.LimitReport{*grant.Limit})
	}
	return grant, err
}

func (r *RateGrants) askBox(ctx context.Context, keeper Box, request dispatch.RateRequest) (dispatch.RateGrant, error) {
	if keeper.Name == r.Members.self.Name {
		return r.answer(ctx, request)
	}
	call := keeperCall{Members: r.Members, Client: r.Client, Log: r.Log, Method: methodRate, Keeper: keeper, Timeout: rateTimeout}
	return callKeeper[dispatch.RateGrant](ctx, call, request)
}

// answer grants a request from an account that this box keeps, by the latest limit of the upstream that either box
// knows.
func (r *RateGrants) answer(_ context.Context, request dispatch.RateRequest) (dispatch.RateGrant, error) {
	if request.Limit != nil {
		r.Directory.ApplyLimitReports([]fleet.LimitReport{*request.Limit})
	}
	known := r.Directory.LimitReports([]string{request.Engine})
	if len(known) > 0 {
		request.Limit = &known[0]
	}
	request.Occupancy = r.occupancy(request.Engine)
	now := time.Now()
	grant := r.Kept.Take(request, r.share(request, now), now)
	if len(known) > 0 {
		grant.Limit = &known[0]
	}
	return grant, nil
}

// occupancy returns what this box knows about the requests in flight at an upstream.
func (r *RateGrants) occupancy(id string) dispatch.Occupancy {
	occupancy := dispatch.Occupancy{Running: r.Loads.Total(id).Running, HoldTime: r.Loads.HoldTime(id)}
	if state := r.Directory.Get(id); state != nil {
		occupancy.Slots = state.Slots
	}
	return occupancy
}

// Reject reports a rejection by an upstream to its keeper. An error is dropped: the keeper learns of the next one, and the
// caller of the keeper logs when it loses and regains it.
func (r *RateGrants) Reject(ctx context.Context, engine string) {
	_, _ = r.Ask(ctx, dispatch.RateRequest{Engine: engine, Rejected: true})
}

// share returns the share of all boxes that an account is for.
func (r *RateGrants) share(request dispatch.RateRequest, now time.Time) float64 {
	if request.Hall {
		return r.Members.hallShare(now)
	}
	return r.Members.reachableShare(now)
}
