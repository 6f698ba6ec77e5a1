package box

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"ospreymoor.example/ospreymoor/internal/engine"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/claims"
)

const (
	// claimedGrace is how long a run that was claimed elsewhere may take to reach its engine.
	claimedGrace = 2 * time.Second
	// claimedPause is the pause between two looks for it.
	claimedPause = 100 * time.Millisecond
	// maxClaims bounds how often one request claims its key anew, after others released it.
	maxClaims = 3
)

// Remedies of requests that may not be repeated.
const (
	remedySameKey = "come back with the same request key"
	remedyUnknown = "ask again with the same request key; do not send the request under another key"
)

// once is a request that may not be repeated, whatever runs it.
type once struct {
	customer string
	key      string
	digest   string
	first    bool
}

func (j *job) once() once {
	return once{
		customer: j.caller.bundle.Customer,
		key:      j.request.GetRequestKey(),
		digest:   j.digest(),
		first:    j.request.GetFirstAttempt(),
	}
}

// digest of what the request asks for; the attempt does not count.
func (j *job) digest() string {
	request := proto.CloneOf(j.request)
	request.FirstAttempt = false
	bytes, err := proto.MarshalOptions{Deterministic: true}.Marshal(request)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(bytes)
	return hex.EncodeToString(sum[:16])
}

// serveOnce runs a job that may not be repeated, or goes on with the run of an earlier attempt.
func (b *Box) serveOnce(ctx context.Context, j *job, d *delivery) *refusal {
	o := j.once()
	for range maxClaims {
		picked, refused := b.choose(j)
		if refused != nil {
			return b.refuseOnce(ctx, j, d, refused)
		}
		done, refused := b.admit(j, picked)
		if refused != nil {
			return b.refuseOnce(ctx, j, d, refused)
		}
		again, refused := b.claimAndRun(ctx, j, o, picked, d)
		done()
		if !again {
			return refused
		}
	}
	return notRun(connect.CodeUnavailable, reasonNotClaimed, remedySameKey, comeBack)
}

// claimAndRun claims the job's key and runs it, or goes on with what stands under the key.
// again says that the key was found free of any run and should be claimed anew.
func (b *Box) claimAndRun(ctx context.Context, j *job, o once, picked choice, d *delivery) (again bool, refused *refusal) {
	own := claims.Claim{
		Digest:      o.digest,
		Upstream:    picked.ID,
		RequestID:   uuid.Must(uuid.NewV7()).String(),
		Incarnation: picked.incarnation,
		Box:         b.config.PeerAddress,
	}
	claim, refused := b.claimKey(ctx, o, own)
	if refused != nil {
		return false, refused
	}
	if claim.RequestID != own.RequestID {
		return b.joinRun(ctx, o, claim, d)
	}
	if !b.fates.mayHand(own.RequestID) {
		return true, nil
	}
	d.begin(own.RequestID)
	err := b.run(ctx, j, picked, d)
	return b.settleOwn(ctx, j, o, own, d, err)
}

// claimKey claims a key and returns the claim that stands; unless that is own, own's request is
// noted as not run by this box.
func (b *Box) claimKey(ctx context.Context, o once, own claims.Claim) (claims.Claim, *refusal) {
	b.fates.begin(own.RequestID)
	claim, err := b.claims.Claim(ctx, o.customer, o.key, own)
	if err != nil || claim.RequestID != own.RequestID {
		b.fates.end(own.RequestID, peer.RunNotRun, nil)
	}
	if err != nil {
		return claim, notClaimed(o, err)
	}
	return claim, nil
}

// lookUp finds the claim of an earlier attempt; refused says that it could not, or that the key
// belongs to another request.
func (b *Box) lookUp(ctx context.Context, o once) (claim claims.Claim, found bool, refused *refusal) {
	claim, found, err := b.claims.Lookup(ctx, o.customer, o.key)
	if err == nil && found && claim.Digest != o.digest {
		err = errors.Annotate(claims.ErrOtherRequest, "looking up")
	}
	if err != nil {
		return claim, false, notClaimed(o, err)
	}
	return claim, found, nil
}

// settleOwn finds out what became of a run that this box handed out.
func (b *Box) settleOwn(ctx context.Context, j *job, o once, own claims.Claim, d *delivery, err error) (again bool, refused *refusal) {
	switch {
	case err == nil:
		b.fates.end(own.RequestID, peer.RunDone, nil)
		return false, nil
	case d.sendErr != nil || ctx.Err() != nil:
		// The run goes on at the engine, where the caller's next attempt finds it.
		b.fates.end(own.RequestID, peer.RunUnknown, nil)
		return false, unknown(reasonCallerLeft, remedyUnknown)
	}
	b.noteFailure(j, own.Upstream, err)
	if d.next == 0 && (notStarted(err) || b.vouched(own)) {
		b.fates.end(own.RequestID, peer.RunNotRun, nil)
		return b.release(ctx, o, own.RequestID)
	}
	b.fates.end(own.RequestID, peer.RunUnknown, nil)
	return false, unknown(reasonUpstream, remedyUnknown)
}

// joinRun hands on the answer of a run that an earlier attempt claimed.
func (b *Box) joinRun(ctx context.Context, o once, claim claims.Claim, d *delivery) (again bool, refused *refusal) {
	b.set.GetOrCreateCounter("ospreymoor_joined_total").Inc()
	d.begin(claim.RequestID)
	f := b.fleet.snapshot.Load()
	if _, ok := f.engines[claim.Upstream]; !ok {
		return false, unknown(reasonClaimedGone, "the engine that the request was given to is gone; "+remedyUnknown)
	}
	client := b.engineClient(claim.Upstream)
	deadline := time.Now().Add(claimedGrace)
	for {
		err := client.Resume(ctx, claim.RequestID, d.next, d.take)
		err = b.resume(ctx, client, d, err)
		switch {
		case err == nil:
			return false, nil
		case d.sendErr != nil || ctx.Err() != nil:
			return false, gone(ctx)
		case !errors.Is(err, engine.ErrNoRun) || d.next > 0:
			return false, unknown(reasonUpstream, remedyUnknown)
		}
		fate := b.askFate(ctx, claim, 0)
		if fate.Outcome == peer.RunNotRun || (time.Now().After(deadline) && b.vouched(claim)) {
			return b.release(ctx, o, claim.RequestID)
		}
		if time.Now().After(deadline) {
			return false, unknown(reasonClaimedGone, remedyUnknown)
		}
		pause(ctx, claimedPause)
	}
}

// vouched has the engine refuse the run's id from then on, and tells whether the engine can
// vouch that it never began: it is the same incarnation that the run was claimed for.
func (b *Box) vouched(claim claims.Claim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
	defer cancel()
	if _, ok := b.fleet.snapshot.Load().engines[claim.Upstream]; !ok {
		return false
	}
	answer, err := b.engineClient(claim.Upstream).Cancel(ctx, claim.RequestID)
	return err == nil && !answer.Started && answer.Incarnation == claim.Incarnation
}

// release frees the key of a run that never began and never will, so that it can be claimed
// again. If that fails, the key stays claimed, and whoever comes next finds the same.
func (b *Box) release(ctx context.Context, o once, requestID string) (again bool, refused *refusal) {
	if err := b.claims.Release(ctx, o.customer, o.key, requestID); err != nil {
		return false, notRun(connect.CodeUnavailable, reasonNotClaimed, remedySameKey, comeBack)
	}
	return true, nil
}

// askFate asks the box that claimed a run what became of it.
func (b *Box) askFate(ctx context.Context, claim claims.Claim, wait time.Duration) peer.OutcomeResponse {
	if claim.Box == b.config.PeerAddress {
		return b.fates.wait(ctx, claim.RequestID, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTime+wait)
	defer cancel()
	request := peer.OutcomeRequest{RequestID: claim.RequestID, Wait: wait}
	answer, err := peer.Call[peer.OutcomeResponse](ctx, b.peers, claim.Box, peer.MethodOutcome, request)
	if err != nil {
		return peer.OutcomeResponse{Outcome: peer.RunUnknown}
	}
	return answer
}

// refuseOnce refuses a job before it is claimed. An earlier attempt may have run, so
// what stands under the key comes first: a run there is joined and not refused.
func (b *Box) refuseOnce(ctx context.Context, j *job, d *delivery, refused *refusal) *refusal {
	o := j.once()
	claim, found, unread := b.lookUp(ctx, o)
	if unread != nil {
		return unread
	}
	if !found {
		return refused
	}
	again, joined := b.joinRun(ctx, o, claim, d)
	if again {
		return refused
	}
	return joined
}

// notClaimed is the refusal of a request whose key can't be claimed or looked up.
func notClaimed(o once, err error) *refusal {
	for _, kind := range []error{claims.ErrBadKey, claims.ErrTooNew, claims.ErrFull} {
		if errors.Is(err, kind) {
			return notRun(connect.CodeInvalidArgument, reasonKey, kind.Error(), 0)
		}
	}
	switch {
	case errors.Is(err, claims.ErrOtherRequest):
		return notRun(connect.CodeAlreadyExists, reasonKey, claims.ErrOtherRequest.Error(), 0)
	case errors.Is(err, claims.ErrTooOld):
		refused := unknown(reasonKey, claims.ErrTooOld.Error())
		refused.retryAfter = 0
		return refused
	case o.first:
		return notRun(connect.CodeUnavailable, reasonNotClaimed, remedySameKey, comeBack)
	default:
		return unknown(reasonNotClaimed, fmt.Sprintf("claims can't be read, so an earlier attempt may have run: %s", remedySameKey))
	}
}
