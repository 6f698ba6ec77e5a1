package box

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/claims"
)

// onceRequest is what a claim needs to know of a request that may run at most once.
type onceRequest struct {
	customer string
	// key is the caller's request key, a UUIDv7 that stays the same across attempts.
	key string
	// digest is the digest of what is asked for. A known key with another digest belongs to another request.
	digest string
	// firstAttempt is the caller's promise that it sent no earlier attempt.
	firstAttempt bool
}

// claimedRuns owns the claims of requests that may run at most once, on models and on plain services. Claims are
// stored in the key-value service; the outcome of a run is kept by the box that claimed it.
type claimedRuns struct {
	self     *self
	claims   *claims.Claims
	outcomes *outcomes
	peers    *peer.Client
	set      *metrics.Set
}

// countJoined counts a request that found the claim of an earlier attempt.
func (c *claimedRuns) countJoined() { c.set.GetOrCreateCounter("ospreymoor_joined_total").Inc() }

// claim claims a request's key and returns the claim that is in force for it. If that is not own, or if claiming
// fails, this box will not send own's run and records its outcome as not run.
func (c *claimedRuns) claim(ctx context.Context, r onceRequest, own claims.Claim) (claims.Claim, *refusal) {
	c.outcomes.begin(own.RequestID)
	claim, err := c.claims.Claim(ctx, r.customer, r.key, own)
	if err != nil || claim.RequestID != own.RequestID {
		c.outcomes.end(own.RequestID, peer.RunNotRun, nil)
	}
	if err != nil {
		return claim, claimRefusal(r, err)
	}
	return claim, nil
}

// lookUp finds the claim of an earlier attempt. It refuses the request if claims cannot be read, or if the key
// belongs to another request.
func (c *claimedRuns) lookUp(ctx context.Context, r onceRequest) (claim claims.Claim, found bool, refused *refusal) {
	claim, found, err := c.claims.Lookup(ctx, r.customer, r.key)
	if err == nil && found && claim.Digest != r.digest {
		err = errors.Annotate(claims.ErrOtherRequest, "looking up")
	}
	if err != nil {
		return claim, false, claimRefusal(r, err)
	}
	return claim, found, nil
}

// release removes the claim of a run that never began and never will, so that the key can be claimed again. If that
// fails, the key stays claimed, and the caller's next attempt finds the same claim.
func (c *claimedRuns) release(ctx context.Context, r onceRequest, requestID string) (reclaim bool, refused *refusal) {
	if err := c.claims.Release(ctx, r.customer, r.key, requestID); err != nil {
		return false, notRun(connect.CodeUnavailable, reasonNotClaimed, remedySameKey, defaultRetryAfter)
	}
	return true, nil
}

// outcomeOfClaim asks the box that claimed a run for its outcome, waiting for the end of the run for at most wait.
// The outcome is unknown if that box cannot be reached.
func (c *claimedRuns) outcomeOfClaim(ctx context.Context, claim claims.Claim, wait time.Duration) peer.OutcomeResponse {
	if claim.Box == c.self.address {
		return c.outcomes.wait(ctx, claim.RequestID, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout+wait)
	defer cancel()
	request := peer.OutcomeRequest{RequestID: claim.RequestID, Wait: wait}
	answer, err := peer.Call[peer.OutcomeResponse](ctx, c.peers, claim.Box, peer.MethodOutcome, request)
	if err != nil {
		return peer.OutcomeResponse{Outcome: peer.RunUnknown}
	}
	return answer
}
