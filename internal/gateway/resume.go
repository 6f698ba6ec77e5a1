package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// This file keeps each stream at the software version that began it, whichever box serves it. Two versions of an
// upstream's software may serve side by side in one service, and upstreams do not check whose events a stream goes on
// from.
//
// Within one answer the box knows the version itself. A stream that a caller takes up again names the attempt that
// brought its first event; the version is on record under that attempt, at the boxes that keep it for all. Records of
// streams are made only while several versions are in use. Which versions serve is noted in the store all the time.

// Origins records and finds the software versions at which streams began.
type Origins struct {
	// Record has records kept by the boxes that keep them for all, without waiting.
	Record func(records ...origins.Record)
	// Find returns where a stream began by this box's records and, if ask is set, by those of other boxes, from
	// which the directory learns of other versions in use.
	Find func(ctx context.Context, question origins.Question, ask bool) origins.Found
	// NoteVersions has the software versions noted that serve now, for boxes that start when these may have left. nil
	// means that nobody does.
	NoteVersions func(serving []origins.Origin)
}

const (
	// maxListAge is the age of the list of upstreams from which on this box asks others whether several versions are in use.
	// A box that reaches the store or another box learns of a change sooner.
	maxListAge = 3 * time.Second
	// startedStreamsCheck is the interval of the check whether another version of a service has come into use.
	startedStreamsCheck = 100 * time.Millisecond
	// upstreamsPoll is the pause before the first list of upstreams is looked for again.
	upstreamsPoll = 5 * time.Millisecond
	// unrecordedTime is the time after another version came into use in which streams that began before may lack a record.
	unrecordedTime = 3 * time.Second
	// maxAttemptIDBytes bounds the id of an attempt that a caller names.
	maxAttemptIDBytes = 256
)

// resumption is where a stream that a caller takes up again may go on. The zero value stands for a stream that begins.
type resumption struct {
	origins.Decision
	// stream is the stream that goes on; 0 if the request begins one or names none.
	stream origins.Stream
	found  origins.Found
	// checked means that several versions are in use, or the stream is on record.
	checked bool
}

// resumptionOf decides where a request goes that would go to a service.
func (g *Gateway) resumptionOf(ctx context.Context, route *routes.Route, service string, request *Request) resumption {
	r := resumption{Decision: origins.Decision{Origin: origins.Origin{Service: service}}}
	if !resumes(route, request) || g.Origins.Find == nil {
		return r
	}
	if !g.awaitUpstreams(ctx) {
		r.Unknown, r.checked = true, true
		return r
	}
	mixed, outdated := g.servesMixed(route), g.listAge() > maxListAge
	named := len(request.Resumes) == 1 && request.Resumes[0] != "" && len(request.Resumes[0]) <= maxAttemptIDBytes
	if named {
		r.stream = origins.StreamOf(request.Resumes[0])
		r.found = g.Origins.Find(ctx, origins.Question{Stream: r.stream, Service: service}, mixed || outdated)
	}
	if mixed = mixed || g.servesMixed(route); !mixed && len(r.found.Origins) == 0 {
		// A box that is cut off from all others may not know the version that began the stream.
		if r.Unknown = named && outdated && !r.found.Answered; r.Unknown {
			r.checked = true
			return r
		}
		// Another version may come into use while the request waits for an upstream.
		if versions := g.Directory.VersionsInUse(service); len(versions) == 1 {
			r.Bound, r.Version = true, versions[0]
			return r
		}
	}
	known := origins.Resumption{Service: service, Named: named, Known: r.found.Origins, MayUse: func(other string) bool {
		return slices.ContainsFunc(route.Shares, func(share routes.Share) bool { return share.Service == other })
	}}
	known.SoleBefore, known.SoleKnown = g.Directory.SoleVersionBefore(service, unrecordedTime)
	r.Decision, r.checked = origins.Decide(known), true
	return r
}

// servesMixed reports whether several versions of a service of the route are in use.
func (g *Gateway) servesMixed(route *routes.Route) bool {
	return slices.ContainsFunc(route.Shares, func(share routes.Share) bool { return g.Directory.MixedVersions(share.Service) })
}

// awaitUpstreams waits up to firstTableWait for the first list of upstreams, without which it is not known whether
// several versions are in use: a box that has just started has its table some milliseconds earlier. It returns false if
// there is none by then.
func (g *Gateway) awaitUpstreams(ctx context.Context) bool {
	for until := time.Now().Add(firstTableWait); g.Directory.Revision() == 0; {
		if pause.For(ctx, upstreamsPoll) != nil || time.Now().After(until) {
			return false
		}
	}
	return true
}

// resumes reports whether a request takes up a stream that may go on at another upstream.
func resumes(route *routes.Route, request *Request) bool {
	return route.Kind == routes.Stream && route.Resumable && request.LastEventID != ""
}

// runsOtherVersion reports whether an upstream runs another software version than the one that began the stream. A
// version that an entry does not state is like none where several are in use.
func (r *inflight) runsOtherVersion(state *fleet.State) bool {
	if !r.resumption.Bound {
		return false
	}
	if state.SoftwareVersion == r.resumption.Version {
		return state.SoftwareVersion == "" && r.gateway.Directory.MixedVersions(r.service)
	}
	return true
}

// beginEvents is called before the first event of an attempt is passed on. It binds the stream to the upstream's version,
// and records that of a stream that began.
func (s *stream) beginEvents(upstream *fleet.State) {
	if len(s.attempts.eventVersions) == 0 && s.route.Resumable {
		s.resumption.Bound, s.resumption.Version = true, upstream.SoftwareVersion
		s.gateway.recordOrigin(s.inflight)
	}
	s.attempts.recordEventVersion(upstream.SoftwareVersion)
}

// recordOrigin records the version of a stream whose first event is about to be passed on. A stream that was taken up
// again is recorded under both attempts, since its record may be missing or old.
func (g *Gateway) recordOrigin(r *inflight) {
	if g.Origins.Record == nil {
		return
	}
	origin := origins.Origin{Service: r.service, Version: r.resumption.Version}
	records := []origins.Record{{Stream: origins.StreamOf(r.request.ID), Origin: origin}}
	if r.resumption.stream != 0 {
		records = append(records, origins.Record{Stream: r.resumption.stream, Origin: origin})
	}
	g.started.Add(records...)
	if g.Directory.MixedVersions(r.service) {
		g.Origins.Record(records...)
	}
}

// endStream forgets a stream whose caller has all of it.
func (g *Gateway) endStream(r *inflight) {
	g.started.Remove(origins.StreamOf(r.request.ID))
	if r.resumption.stream != 0 {
		g.started.Remove(r.resumption.stream)
	}
}

// RunOrigins has the versions noted that serve, and records the streams that began at this box before another version of
// their service came into use, until ctx ends.
func (g *Gateway) RunOrigins(ctx context.Context) {
	recorded := map[string]bool{}
	for pause.For(ctx, startedStreamsCheck) == nil {
		g.noteVersions()
		mixed := map[string]bool{}
		for _, service := range g.Directory.MixedServices() {
			mixed[service] = true
			if records := g.started.OfService(service); !recorded[service] && len(records) > 0 {
				g.Origins.Record(records...)
			}
		}
		recorded = mixed
	}
}

// noteVersions has the versions noted that serve streams which callers may take up again. Without it, boxes that all lose
// power while one version is in use, and start again when another one is, know nothing of the first.
func (g *Gateway) noteVersions() {
	table := g.Table()
	if table == nil || g.Origins.NoteVersions == nil {
		return
	}
	var serving []origins.Origin
	for _, service := range table.ResumableServices() {
		for _, version := range g.Directory.ServingVersions(service) {
			serving = append(serving, origins.Origin{Service: service, Version: version})
		}
	}
	g.Origins.NoteVersions(serving)
}

// countResumption counts how a stream that a caller takes up again goes on.
func (r *inflight) countResumption() {
	if !r.resumption.checked {
		return
	}
	result := "bound"
	switch {
	case r.resumption.Unknown:
		result = "unknown"
	case r.resumption.Assumed:
		result = "assumed"
	case !r.resumption.Bound:
		result = "other service"
	}
	r.gateway.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_resumptions_total{origin=%q}", result)).Inc()
}

// originField returns the log field with the version that a resumed stream is bound to, and how it is known.
func (r *inflight) originField() zap.Field {
	if !r.resumption.checked {
		return zap.Skip()
	}
	return zap.Object("origin", zapcore.ObjectMarshalerFunc(func(object zapcore.ObjectEncoder) error {
		object.AddString("version", r.resumption.Version)
		object.AddBool("bound", r.resumption.Bound)
		object.AddBool("assumed", r.resumption.Assumed)
		object.AddString("source", r.resumption.found.Source)
		object.AddDuration("age", r.resumption.found.Age)
		return nil
	}))
}
