package cluster

import (
	"slices"
	"time"
)

// target is a box that updates are gathered for.
type target struct {
	name string
	// work means that the box is sent the work that is asked for, and relay that it passes
	// updates on to the boxes of its hall.
	work, relay bool
}

// allTargets are all boxes of a small fleet. The caller holds the lock.
func (m *Members) allTargets() []target {
	var targets []target
	for name := range m.byName {
		targets = append(targets, target{name: name, work: true})
	}
	return targets
}

// relayTargets are the boxes of a large fleet that this one calls by plan, and those that call it
// lately. The caller holds the lock.
func (m *Members) relayTargets(plan []planned, now time.Time) []target {
	var targets []target
	for _, p := range plan {
		targets = append(targets, target{name: p.Name, work: true, relay: true})
	}
	for name, other := range m.reporting {
		planned := slices.ContainsFunc(targets, func(t target) bool { return t.name == name })
		if planned || !other.summary.fresh(now) {
			continue
		}
		switch other.summary.scope {
		case memberScope:
			targets = append(targets, target{name: name, work: other.report.holdsOrderLease})
		case hallScope:
			targets = append(targets, target{name: name, work: true, relay: true})
		}
	}
	return targets
}
