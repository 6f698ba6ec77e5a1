package box

import (
	"context"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"ospreymoor.example/ospreymoor/pkg/claims"
)

// maxClaims bounds how often one request claims its key anew after a run under it never began.
const maxClaims = 3

// onceRun is the one path of requests that may run at most once: the key is claimed with the upstream before
// anything is sent, a claimed run is sent once at most, and later attempts join the run that stands under the key.
// The functions are the steps that differ between models (model_once.go) and plain services (service_once.go).
type onceRun struct {
	request onceRequest
	claimed *claimedRuns
	// choose picks and admits an upstream.
	choose func() (claimedUpstream, *refusal)
	// send sends a run that is claimed to the upstream chosen last, and settles its outcome.
	send func(ctx context.Context, own claims.Claim) (again bool, refused *refusal)
	// join hands on the answer of a run that an earlier attempt claimed. For both, again means that no run stands
	// under the key and none will: it may be claimed anew.
	join func(ctx context.Context, claim claims.Claim) (again bool, refused *refusal)
}

// claimedUpstream is the upstream that a run is claimed for.
type claimedUpstream struct {
	id string
	// incarnation of an engine; empty for a plain service.
	incarnation string
	// done ends the run's admission; nil if the caller ends it.
	done func()
}

// serve runs the request, or goes on with the run of an earlier attempt.
func (r *onceRun) serve(ctx context.Context) *refusal {
	for range maxClaims {
		upstream, refused := r.choose()
		if refused != nil {
			return r.joinOrRefuse(ctx, refused)
		}
		again, refused := r.claimAndSend(ctx, upstream)
		if upstream.done != nil {
			upstream.done()
		}
		if !again {
			return refused
		}
	}
	return notRun(connect.CodeUnavailable, reasonNotClaimed, remedySameKey, comeBack)
}

// claimAndSend claims the key and sends the run, or joins the run that stands under the key.
func (r *onceRun) claimAndSend(ctx context.Context, upstream claimedUpstream) (again bool, refused *refusal) {
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

// joinOrRefuse answers a request that cannot be admitted. An earlier attempt may have run, so the claim under the key
// is looked up first: a run there is joined, and only without one is the request refused.
func (r *onceRun) joinOrRefuse(ctx context.Context, refused *refusal) *refusal {
	claim, found, unread := r.claimed.lookUp(ctx, r.request)
	if unread != nil {
		return unread
	}
	if !found {
		return refused
	}
	again, joined := r.join(ctx, claim)
	if again {
		return refused
	}
	return joined
}
