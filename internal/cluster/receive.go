package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// answer answers a box's exchange, with what it lacks of newer state. What is too long for one answer, the box
// fetches.
func (e *Exchange) answer(ctx context.Context, received message) (message, error) {
	e.receive(context.WithoutCancel(ctx), received)
	answer := e.messageTo(received.From.Name, answerScope(received.Scope))
	if received.Pieces && e.Mirror.ChangesSince(received.Revision) > maxExchangedChanges {
		return answer, nil // It is fetched.
	}
	newer := e.newerThan(copyRequest{Revision: received.Revision, Version: received.Version, Pieces: received.Pieces})
	if !received.Pieces || newer.bytes() <= maxExchangedBytes {
		answer.Delta, answer.Update = newer.Delta, newer.Update
	}
	return answer, nil
}

// answerScope is the scope of the answer to a message.
func answerScope(received scope) scope {
	if received == memberScope {
		return fleetScope
	}
	return received
}

// receive takes in a message, and fetches what its sender has newer and did not send.
func (e *Exchange) receive(ctx context.Context, received message) {
	now := time.Now()
	if err := received.unpackActivity(); err != nil {
		e.Log.Warn("activity unreadable", zap.String("peer", received.From.Name), logfield.Error(err))
	}
	e.Members.takeReport(received, now)
	e.applyLoads(now)
	e.applyUpdates(received, now)
	e.crashes.receive(received.From.Name, e.Members.Large(), received.Crashes)
	e.applyState(received, now)
	e.Directory.NoteLeaving(received.LeavingUpstreams)
	e.limits.receive(received.From.Name, e.Members.Large(), received.Limits)
	if behind := e.behind(received); behind || len(e.Mirror.Missing()) > 0 {
		go e.fetch(ctx, received.From.Address, behind)
	}
}

// applyLoads has routing and the order holder know what the other boxes have under way.
func (e *Exchange) applyLoads(now time.Time) {
	others := e.Members.otherBoxes(now)
	e.Loads.SetRemoteLoads(others.Loads, e.Members.othersAsOf(now))
	if _, err := e.Controller.Term(); err == nil {
		e.Controller.SetModelUses(append(e.ModelUses(), others.Uses...))
	}
}

// applyUpdates takes in observations and work, and queues them for others if this box relays.
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

// applyState takes in the sender's directory and copy of the store, as far as they are newer.
func (e *Exchange) applyState(received message, now time.Time) {
	e.apply(copyAnswer{Delta: received.Delta, Update: received.Update})
	if received.Staleness >= 0 {
		e.Mirror.ConfirmCurrent(received.Revision, now.Add(-received.Staleness))
	}
}

// behind reports whether a sender's copy of the store or directory is newer than this box's.
func (e *Exchange) behind(received message) bool {
	return received.Revision > e.Mirror.State().Revision || e.Directory.Version().Before(received.Version)
}
