package cluster

import (
	"slices"
	"time"
)

// target is a box that updates are queued for.
type target struct {
	name string
	// wantsWork means that the box is sent the work requested of models. relay means that it forwards updates to the
	// boxes of its hall.
	wantsWork, relay bool
}

// allTargets returns all boxes of a small fleet. The caller holds the lock.
func (m *Members) allTargets() []target {
	var targets []target
	for name := range m.byName {
		targets = append(targets, target{name: name, wantsWork: true})
	}
	return targets
}

// relayTargets returns the boxes of a large fleet that this one plans to call, and those that recently called it.
// The caller holds the lock.
func (m *Members) relayTargets(plan []plannedCall, now time.Time) []target {
	var targets []target
	for _, p := range plan {
		targets = append(targets, target{name: p.Name, wantsWork: true, relay: true})
	}
	for name, other := range m.reporting {
		planned := slices.ContainsFunc(targets, func(t target) bool { return t.name == name })
		if planned || !other.summary.fresh(now) {
			continue
		}
		switch other.summary.scope {
		case memberScope:
			targets = append(targets, target{name: name, wantsWork: other.report.holdsOrderLease})
		case hallScope:
			targets = append(targets, target{name: name, wantsWork: true, relay: true})
		}
	}
	return targets
}
