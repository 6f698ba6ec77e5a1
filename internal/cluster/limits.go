package cluster

import "ospreymoor.example/ospreymoor/pkg/fleet"

// maxLimitsPerMessage bounds the upstreams whose limits one message reports; the others wait. With 70 bytes each
// they take a link of 10 Mbit/s 6 ms.
const maxLimitsPerMessage = 100

// limitBroadcasts queues, for each other box, the upstreams whose limits changed. It is safe for concurrent use.
type limitBroadcasts struct {
	Directory *fleet.Directory

	broadcastQueue[string]
}

func newLimitBroadcasts(directory *fleet.Directory) *limitBroadcasts {
	return &limitBroadcasts{Directory: directory, broadcastQueue: broadcastQueue[string]{maxPerMessage: maxLimitsPerMessage}}
}

// collect queues the changes at this box for the targets.
func (l *limitBroadcasts) collect(targets []target) {
	l.broadcastQueue.collect(targets, l.Directory.TakeChangedLimits(), l.Directory.LimitedUpstreams)
}

// take returns the limits to report to a box now.
func (l *limitBroadcasts) take(name string) []fleet.LimitReport {
	return l.Directory.LimitReports(l.broadcastQueue.take(name))
}

// requeue queues reports again after the call that carried them failed.
func (l *limitBroadcasts) requeue(name string, reports []fleet.LimitReport) {
	ids := make([]string, len(reports))
	for n, report := range reports {
		ids[n] = report.Upstream
	}
	l.broadcastQueue.requeue(name, ids)
}

// receive applies reports from a box and, in a large fleet, forwards those that are new.
func (l *limitBroadcasts) receive(from string, large bool, reports []fleet.LimitReport) {
	if changed := l.Directory.ApplyLimitReports(reports); large {
		l.forward(from, changed)
	}
}
