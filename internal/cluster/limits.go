package cluster

import "ospreymoor.example/ospreymoor/pkg/fleet"

// maxToldLimits bounds the upstreams whose limits one message tells of; the others wait. With 70 bytes each they take a link of 10 Mbit/s
// 6 ms.
const maxToldLimits = 100

// limitNews is which upstreams' limits each other box is still to be told of. It is safe for concurrent use.
type limitNews struct {
	Directory *fleet.Directory

	tellings[string]
}

func newLimitNews(directory *fleet.Directory) *limitNews {
	return &limitNews{Directory: directory, tellings: tellings[string]{most: maxToldLimits}}
}

// collect queues this box's news for the targets.
func (l *limitNews) collect(targets []target) {
	l.tellings.collect(targets, l.Directory.TakeChangedLimits(), l.Directory.LimitedUpstreams)
}

// take returns what a box is told now.
func (l *limitNews) take(name string) []fleet.LimitReport {
	return l.Directory.LimitReports(l.tellings.take(name))
}

// putBack queues what a box was not told because the call failed.
func (l *limitNews) putBack(name string, reports []fleet.LimitReport) {
	ids := make([]string, len(reports))
	for n, report := range reports {
		ids[n] = report.Upstream
	}
	l.tellings.putBack(name, ids)
}

// receive takes in what a box told, and passes on in a large fleet what is news.
func (l *limitNews) receive(from string, large bool, reports []fleet.LimitReport) {
	if news := l.Directory.NoteLimits(reports); large {
		l.passOn(from, news)
	}
}
