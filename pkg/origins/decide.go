package origins

// Resumption has the facts for a decision where a stream goes on that a caller takes up again.
type Resumption struct {
	// Service is the service that the request would go to.
	Service string
	// Named means that the request names the attempt that began the stream, and only one.
	Named bool
	// Known are the origins of that stream. None means that no record was found.
	Known []Origin
	// MayUse reports whether the request may go to another service of its route.
	MayUse func(service string) bool
	// SoleBefore is the only version of Service until a moment ago, if SoleKnown is set: a stream without a record began
	// there before versions were recorded.
	SoleBefore string
	SoleKnown  bool
}

// Decision is where a stream may go on.
type Decision struct {
	// Origin is the service, and the software version if Bound is set.
	Origin
	// Bound means that the stream may go on at upstreams of that version alone.
	Bound bool
	// Unknown means that the version is not known, so that the stream may not go on at all.
	Unknown bool
	// Assumed means that the version is not on record.
	Assumed bool
}

// Decide decides where a stream may go on that is taken up again while several versions of a service are in use.
//
// A stream that goes on at another version is corrupted, which neither the caller nor the upstream notices. One that is
// refused can be asked for anew. So a stream whose version is not known is refused. At a service where it has no events
// yet, it may go on at any version, since versions are compared within a service only.
func Decide(r Resumption) Decision {
	for _, origin := range r.Known {
		if origin.Service == r.Service {
			return Decision{Origin: origin, Bound: true}
		}
	}
	for _, origin := range r.Known {
		if r.MayUse(origin.Service) {
			return Decision{Origin: origin, Bound: true}
		}
	}
	switch {
	case len(r.Known) > 0:
		return Decision{Origin: Origin{Service: r.Service}}
	case r.Named && r.SoleKnown:
		return Decision{Origin: Origin{Service: r.Service, Version: r.SoleBefore}, Bound: true, Assumed: true}
	}
	return Decision{Origin: Origin{Service: r.Service}, Unknown: true}
}
