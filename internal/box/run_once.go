package box

import (
	"context"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"ospreymoor.example/ospreymoor/pkg/claims"
)

// maxClaims bounds how often one request claims its key. It claims the key again after a run under it never began.
const maxClaims = 3

// onceRun runs requests that may run at most once. The key is claimed together with the upstream before anything is
// sent, a claimed run is sent at most once, and later attempts join the run that was claimed under the key. The
// functions are the steps that differ between models (model_once.go) and plain services (service_once.go).
type onceRun struct {
	request onceRequest
	claimed *claimedRuns
	// choose picks an upstream and admits the request there.
	choose func() (claimedUpstream, *refusal)
	// send sends a claimed run to the upstream chosen last, and records its outcome.
	send func(ctx context.Context, own claims.Claim) (reclaim bool, refused *refusal)
	// join passes on the answer of a run that an earlier attempt claimed. For both send and join, reclaim means
	// that no run exists under the key and none will, so the key may be claimed again.
	join func(ctx context.Context, claim claims.Claim) (reclaim bool, refused *refusal)
}

// claimedUpstream is the upstream that a run is claimed for.
type claimedUpstream struct {
	id string
	// incarnation is that of an engine; it is empty for a plain service.
	incarnation string
	// done ends the run's admission. It is nil if the user of onceRun ends it itself.
	done func()
}

// serve runs the request, or joins the run of an earlier attempt.
func (r *onceRun) serve(ctx context.Context) *refusal {
	for range maxClaims {
		upstream, refused := r.choose()
		if refused != nil {
			return r.joinOrRefuse(ctx, refused)
		}
		reclaim, refused := r.claimAndSend(ctx, upstream)
		if upstream.done != nil {
			upstream.done()
		}
		if !reclaim {
			return refused
		}
	}
	return notRun(connect.CodeUnavailable, reasonNotClaimed, remedySameKey, defaultRetryAfter)
}

// claimAndSend claims the key and sends the run, or joins the run that is already claimed under the key.
func (r *onceRun) claimAndSend(ctx context.Context, upstream claimedUpstream) (reclaim bool, refused *refusal) {
	own := claims.Claim{
		Digest:      r.request.digest,
		Upstream:    upstream.id,
		RequestID:   uuid.Must(uuid.NewV7()).String(),
		Incarnation: upstream.incarnation,
		Box:         r.claimed.self.address,
	}
	claim, refused := r.claimed.claim(ctx, r.request, own)
	if refused != nil {
		return false, refused
	}
	if claim.RequestID != own.RequestID {
		return r.join(ctx, claim)
	}
	if !r.claimed.outcomes.maySend(own.RequestID) {
		return true, nil
	}
	return r.send(ctx, own)
}

// joinOrRefuse answers a request that cannot be admitted. An earlier attempt may have run, so the claim under the
// key is looked up first. If there is one, its run is joined; if not, the request is refused.
func (r *onceRun) joinOrRefuse(ctx context.Context, refused *refusal) *refusal {
	claim, found, unread := r.claimed.lookUp(ctx, r.request)
	if unread != nil {
		return unread
	}
	if !found {
		return refused
	}
	reclaim, joined := r.join(ctx, claim)
	if reclaim {
		return refused
	}
	return joined
}
