package box

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/engine"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/claims"
)

const (
	// joinGracePeriod is how long a run that an earlier attempt claimed may take to reach its engine.
	joinGracePeriod = 2 * time.Second
	// joinRetryDelay is the pause between two attempts to find that run at the engine.
	joinRetryDelay = 100 * time.Millisecond
)

// modelOnce is a request on a model that may run at most once. An engine can resume an answer and can confirm that a
// run never began. Plain services can do neither (service_once.go).
type modelOnce struct {
	*modelServer
	request     *modelRequest
	onceRequest onceRequest
	d           *delivery
}

// serveOnce runs a request that may run at most once, or joins the run of an earlier attempt.
func (s *modelServer) serveOnce(ctx context.Context, r *modelRequest, d *delivery) *refusal {
	m := modelOnce{modelServer: s, request: r, onceRequest: r.onceRequest(), d: d}
	run := onceRun{request: m.onceRequest, claimed: s.claimed, choose: m.chooseAndAdmit, send: m.send, join: m.join}
	return run.serve(ctx)
}

// chooseAndAdmit picks an engine and admits the request there.
func (m modelOnce) chooseAndAdmit() (claimedUpstream, *refusal) {
	picked, refused := m.choose(m.request)
	if refused != nil {
		return claimedUpstream{}, refused
	}
	done, refused := m.admit(m.request, picked)
	if refused != nil {
		return claimedUpstream{}, refused
	}
	return claimedUpstream{id: picked.ID, incarnation: picked.incarnation, done: done}, nil
}

// send sends a claimed run to its engine and records its outcome.
func (m modelOnce) send(ctx context.Context, own claims.Claim) (reclaim bool, refused *refusal) {
	m.d.startRun(own.RequestID)
	err := m.runs.run(ctx, m.request, own.Upstream, m.d)
	outcomes := m.claimed.outcomes
	switch {
	case err == nil:
		outcomes.end(own.RequestID, peer.RunDone, nil)
		return false, nil
	case m.d.sendErr != nil || ctx.Err() != nil:
		// The run continues at the engine, where the caller's next attempt joins it.
		outcomes.end(own.RequestID, peer.RunUnknown, nil)
		return false, unknown(reasonCallerLeft, remedyUnknown)
	}
	m.runs.recordFailure(m.request, own.Upstream, err)
	if m.d.nextIndex == 0 && (notStarted(err) || m.runs.confirmNeverStarted(own)) {
		outcomes.end(own.RequestID, peer.RunNotRun, nil)
		return m.claimed.release(ctx, m.onceRequest, own.RequestID)
	}
	outcomes.end(own.RequestID, peer.RunUnknown, nil)
	return false, unknown(reasonUpstream, remedyUnknown)
}

// join passes on the answer of a run that an earlier attempt claimed. Until joinGracePeriod has passed, the run may
// still be on its way to the engine.
func (m modelOnce) join(ctx context.Context, claim claims.Claim) (reclaim bool, refused *refusal) {
	m.claimed.countJoined()
	m.d.startRun(claim.RequestID)
	if _, listed := m.fleet.snapshot.Load().engines[claim.Upstream]; !listed {
		return false, unknown(reasonEarlierAttempt, "the engine that the request was given to is gone; "+remedyUnknown)
	}
	client := m.runs.client(claim.Upstream)
	deadline := time.Now().Add(joinGracePeriod)
	for {
		err := client.Resume(ctx, claim.RequestID, m.d.nextIndex, m.d.deliver)
		err = m.runs.resume(ctx, client, m.d, err)
		switch {
		case err == nil:
			return false, nil
		case m.d.sendErr != nil || ctx.Err() != nil:
			return false, callerLeft(ctx)
		case !errors.Is(err, engine.ErrNoRun) || m.d.nextIndex > 0:
			return false, unknown(reasonUpstream, remedyUnknown)
		}
		found := m.claimed.outcomeOfClaim(ctx, claim, 0)
		if found.Outcome == peer.RunNotRun || (time.Now().After(deadline) && m.runs.confirmNeverStarted(claim)) {
			return m.claimed.release(ctx, m.onceRequest, claim.RequestID)
		}
		if time.Now().After(deadline) {
			return false, unknown(reasonEarlierAttempt, remedyUnknown)
		}
		pause(ctx, joinRetryDelay)
	}
}
