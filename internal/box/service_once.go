package box

import (
	"context"
	"io"
	"maps"
	"net/http"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/engine"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/claims"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

// maxAnswerBytes bounds the answer of a call that may not be repeated. The answer is read whole, so that later
// attempts get it too (docs/design/claims.md).
const maxAnswerBytes = 1 << 20

// serviceOnce is a call of a plain service that may run at most once. Unlike an engine (model_once.go), a plain
// service cannot confirm that a call never ran. Its answer is therefore read whole and kept; without an answer, the
// outcome is unknown.
type serviceOnce struct {
	*serviceProxy
	call     *serviceCall
	request  onceRequest
	upstream membership.Box
	answer   *peer.Answer
}

// serveOnce sends a call that may run at most once, or returns the answer that an earlier attempt got. The call has
// already been admitted.
func (s *serviceProxy) serveOnce(w http.ResponseWriter, c *serviceCall) {
	ctx, cancel := context.WithTimeout(c.request.Context(), durationOf(c.service.Timeout))
	defer cancel()
	o := s.newServiceOnce(c)
	o.finish(w, o.run().serve(ctx))
}

// joinOrRefuse refuses a call that was not admitted, unless an earlier attempt has claimed its key. Then it returns
// the answer that the earlier attempt got.
func (s *serviceProxy) joinOrRefuse(w http.ResponseWriter, c *serviceCall, refused *refusal) {
	o := s.newServiceOnce(c)
	o.finish(w, o.run().joinOrRefuse(c.request.Context(), refused))
}

func (s *serviceProxy) newServiceOnce(c *serviceCall) *serviceOnce {
	return &serviceOnce{serviceProxy: s, call: c, request: c.onceRequest()}
}

// run returns the sequence of steps that calls share with requests on models.
func (o *serviceOnce) run() *onceRun {
	return &onceRun{request: o.request, claimed: o.claimed, choose: o.chooseUpstream, send: o.sendClaimed, join: o.join}
}

// finish answers the caller with the whole answer or with a refusal.
func (o *serviceOnce) finish(w http.ResponseWriter, refused *refusal) {
	if refused != nil {
		o.refuse(w, o.call, refused)
		return
	}
	maps.Copy(w.Header(), o.answer.Header)
	w.WriteHeader(o.answer.Status)
	// A caller that has left gets the same answer with its next attempt, and it is counted then.
	if _, err := w.Write(o.answer.Body); err == nil {
		o.counters.countServiceAnswer(o.call)
	}
}

// chooseUpstream picks an upstream and keeps it for sendClaimed.
func (o *serviceOnce) chooseUpstream() (claimedUpstream, *refusal) {
	upstream, refused := o.choose(o.call)
	o.upstream = upstream
	return claimedUpstream{id: upstream.ID}, refused
}

// sendClaimed sends a claimed call. The call goes on even if its caller leaves, so that the answer is there for the
// caller's next attempt.
func (o *serviceOnce) sendClaimed(ctx context.Context, own claims.Claim) (reclaim bool, refused *refusal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), durationOf(o.call.service.Timeout))
	defer cancel()
	ended := o.router.RecordSent(o.call.fullName, "", o.upstream.ID)
	defer ended()
	answer, err := o.readAnswer(ctx)
	if err == nil {
		o.claimed.outcomes.end(own.RequestID, peer.RunDone, answer)
		o.answer = answer
		return false, nil
	}
	o.router.Avoid(o.upstream.ID, avoidDuration)
	if engine.IsDialError(err) {
		o.claimed.outcomes.end(own.RequestID, peer.RunNotRun, nil)
		return o.claimed.release(ctx, o.request, own.RequestID)
	}
	o.claimed.outcomes.end(own.RequestID, peer.RunUnknown, nil)
	return false, unknown(reasonUpstream, remedyUnknown)
}

// readAnswer makes the call on a connection of its own and reads the whole answer.
func (o *serviceOnce) readAnswer(ctx context.Context) (*peer.Answer, error) {
	response, err := o.send(ctx, o.onceClient, o.call, o.upstream)
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
	return &peer.Answer{Status: response.StatusCode, Header: endToEndHeaders(response.Header), Body: body}, nil
}

// join asks the box that claimed the key for the answer, and waits for it for at most the service's timeout.
func (o *serviceOnce) join(ctx context.Context, claim claims.Claim) (reclaim bool, refused *refusal) {
	o.claimed.countJoined()
	found := o.claimed.outcomeOfClaim(ctx, claim, durationOf(o.call.service.Timeout))
	switch {
	case found.Outcome == peer.RunDone && found.Answer != nil:
		o.answer = found.Answer
		return false, nil
	case found.Outcome == peer.RunNotRun:
		return o.claimed.release(ctx, o.request, claim.RequestID)
	}
	return false, unknown(reasonEarlierAttempt, "an earlier attempt was handed to "+claim.Upstream+"; "+remedyUnknown)
}
