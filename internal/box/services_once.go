package box

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/engine"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/claims"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

func (c *call) once() once {
	return once{
		customer: c.caller.bundle.Customer,
		key:      c.request.Header.Get(headerRequestKey),
		digest:   c.digest(),
		first:    c.request.Header.Get(headerFirstAttempt) == "true",
	}
}

// answerOnce claims a call's key and sends the call, or finds the answer of an earlier attempt.
func (b *Box) answerOnce(ctx context.Context, c *call) (*peer.Answer, *refusal) {
	o := c.once()
	for range maxClaims {
		upstream, refused := b.chooseService(c)
		if refused != nil {
			return b.refusedOrEarlier(ctx, c, refused)
		}
		own := claims.Claim{
			Digest:    o.digest,
			Upstream:  upstream.ID,
			RequestID: uuid.Must(uuid.NewV7()).String(),
			Box:       b.config.PeerAddress,
		}
		claim, refused := b.claimKey(ctx, o, own)
		if refused != nil {
			return nil, refused
		}
		if claim.RequestID != own.RequestID {
			answer, again, refused := b.earlierAnswer(ctx, c, o, claim)
			if again {
				continue
			}
			return answer, refused
		}
		answer, again, refused := b.sendOnce(ctx, c, o, own, upstream)
		if !again {
			return answer, refused
		}
	}
	return nil, notRun(connect.CodeUnavailable, reasonNotClaimed, remedySameKey, comeBack)
}

// sendOnce sends a claimed call. Once the call may have reached the upstream, it goes on
// without its caller, so that the answer is there for the next attempt.
func (b *Box) sendOnce(ctx context.Context, c *call, o once, own claims.Claim, upstream membership.Box) (answer *peer.Answer, again bool, refused *refusal) {
	if !b.fates.mayHand(own.RequestID) {
		return nil, true, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), durationOf(c.service.Timeout))
	defer cancel()
	ended := b.router.Sent(c.key, "", upstream.ID)
	defer ended()
	answer, err := b.readAnswer(ctx, c, upstream)
	if err == nil {
		b.fates.end(own.RequestID, peer.RunDone, answer)
		return answer, false, nil
	}
	b.router.Failed(upstream.ID, avoidTime)
	if engine.IsDialError(err) {
		b.fates.end(own.RequestID, peer.RunNotRun, nil)
		again, refused = b.release(ctx, o, own.RequestID)
		return nil, again, refused
	}
	b.fates.end(own.RequestID, peer.RunUnknown, nil)
	return nil, false, unknown(reasonUpstream, remedyUnknown)
}

func (b *Box) readAnswer(ctx context.Context, c *call, upstream membership.Box) (*peer.Answer, error) {
	response, err := b.send(ctx, b.plainOnce, c, upstream)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errors.Errorf("answer over %d bytes", maxAnswerBytes)
	}
	return &peer.Answer{Status: response.StatusCode, Header: passedOn(response.Header), Body: body}, nil
}

// earlierAnswer asks the box that claimed the key. A plain service can't vouch for what it
// did not do, so when that box can't tell, the outcome is unknown.
func (b *Box) earlierAnswer(ctx context.Context, c *call, o once, claim claims.Claim) (answer *peer.Answer, again bool, refused *refusal) {
	b.set.GetOrCreateCounter("ospreymoor_joined_total").Inc()
	fate := b.askFate(ctx, claim, durationOf(c.service.Timeout))
	switch fate.Outcome {
	case peer.RunDone:
		if fate.Answer != nil {
			return fate.Answer, false, nil
		}
	case peer.RunNotRun:
		again, refused = b.release(ctx, o, claim.RequestID)
		return nil, again, refused
	}
	return nil, false, unknown(reasonClaimedGone, "an earlier attempt was handed to "+claim.Upstream+"; "+remedyUnknown)
}

// refusedOrEarlier looks for an earlier attempt before a call is refused that may not be
// repeated: what that attempt got is answered instead.
func (b *Box) refusedOrEarlier(ctx context.Context, c *call, refused *refusal) (*peer.Answer, *refusal) {
	if !c.notRepeatable() {
		return nil, refused
	}
	o := c.once()
	claim, found, unread := b.lookUp(ctx, o)
	if unread != nil {
		return nil, unread
	}
	if !found {
		return nil, refused
	}
	answer, again, joined := b.earlierAnswer(ctx, c, o, claim)
	if again {
		return nil, refused
	}
	return answer, joined
}
