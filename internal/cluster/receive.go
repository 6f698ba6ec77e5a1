package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// answer answers a box's exchange, and includes the newer state that the box lacks. The box fetches what is too long
// for one answer.
func (e *Exchange) answer(ctx context.Context, received message) (message, error) {
	e.receive(context.WithoutCancel(ctx), received)
	answer := e.messageTo(received.From.Name, answerScope(received.Scope))
	request := syncRequestOf(received)
	if received.Pieces && e.Mirror.ChangesSince(request.since(e.Mirror.State().Revision)) > maxExchangedChanges {
		return answer, nil // The box fetches the changes.
	}
	newer := e.newerThan(request)
	if !received.Pieces || newer.estimatedBytes() <= maxExchangedBytes {
		answer.Delta, answer.Update = newer.Delta, newer.Update
	}
	return answer, nil
}

// answerScope returns the scope of the answer to a message.
func answerScope(received scope) scope {
	if received == memberScope {
		return fleetScope
	}
	return received
}

// receive applies a message, and starts a fetch of newer state that its sender has and did not include.
func (e *Exchange) receive(ctx context.Context, received message) {
	now := time.Now()
	if err := received.unpackActivity(); err != nil {
		e.Log.Warn("activity unreadable", zap.String("peer", received.From.Name), logfield.Error(err))
	}
	e.Members.applyReport(received, now)
	e.applyReach(received)
	e.applyLoads(now)
	e.applyUpdates(received, now)
	e.crashes.receive(received.From.Name, e.Members.Large(), received.Crashes)
	e.partCrashes.receive(received.From.Name, e.Members.Large(), received.PartCrashes)
	e.applyState(received, now)
	e.applyHeldClaim(ctx, received)
	e.Directory.RecordLeaving(received.LeavingUpstreams)
	e.limits.receive(received.From.Name, e.Members.Large(), received.Limits)
	if behind := e.behind(received); behind || len(e.Mirror.Missing()) > 0 {
		go e.fetch(ctx, received.From.Address, behind)
	}
}

// applyLoads sets the load of the other boxes for routing and, at the order holder, for its controller.
func (e *Exchange) applyLoads(now time.Time) {
	others := e.Members.remoteSummary(now)
	e.Loads.SetRemoteLoads(others.Loads, e.Members.remoteSummaryTime(now))
	if _, err := e.Controller.Term(); err == nil {
		e.Controller.SetModelUses(append(e.ModelUses(), others.Uses...))
	}
}

// applyUpdates applies observations and work, and queues them for others if this box relays.
func (e *Exchange) applyUpdates(received message, now time.Time) {
	e.Loads.MergeObservations(received.Observations)
	work := make(map[residency.WorkKey]float64, len(received.Work))
	for _, item := range received.Work {
		work[item.WorkKey] += item.Milliseconds
	}
	if len(work) > 0 {
		e.Demand.Note(work, now)
	}
	if received.Scope == memberScope || received.Scope == hallScope {
		e.Pending.forward(received.From.Name, received.Scope, received.Observations, work)
	}
}

// applyState applies the newer parts of the sender's directory and copy of the store.
func (e *Exchange) applyState(received message, now time.Time) {
	e.apply(syncAnswer{Delta: received.Delta, Update: received.Update})
	if received.Staleness >= 0 {
		e.Mirror.ConfirmCurrent(received.storeRevision(), now.Add(-received.Staleness))
	}
}

// behind reports whether the sender's copy of the store or directory is newer than this box's, and to be fetched.
func (e *Exchange) behind(received message) bool {
	newer := received.storeRevision() > e.Mirror.State().Revision && !e.Mirror.ReadsRestored()
	return newer || e.Directory.Version().Before(received.Version)
}
