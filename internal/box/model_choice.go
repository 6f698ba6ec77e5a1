package box

import (
	"slices"

	"connectrpc.com/connect"

	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// choice is an engine chosen for a request.
type choice struct {
	routing.Choice
	// incarnation is the engine's incarnation in its latest report.
	incarnation string
}

// choose picks an engine that holds what the request needs and has not refused it. The rule is in pkg/routing. A
// request for which there is no engine counts as missed demand.
func (s *modelServer) choose(r *modelRequest) (choice, *refusal) {
	list := s.fleet.candidates(r.item, r.adapter)
	list = slices.DeleteFunc(list, func(c routing.Candidate) bool { return r.refusedBy[c.ID] })
	picked, err := s.router.Pick(r.item, r.message.GetPrompt(), list)
	if err != nil {
		s.demand.Miss(r.fullName, s.router.SlotTime(r.item))
		return choice{}, notRun(connect.CodeUnavailable, reasonNoUpstream, "no engine holds the model at the moment", defaultRetryAfter)
	}
	incarnation := s.fleet.snapshot.Load().engines[picked.ID].holding.Incarnation
	return choice{Choice: picked, incarnation: incarnation}, nil
}

// admit admits a request given its estimated wait at the engine chosen, or refuses it as overload. The rule is in
// pkg/admission. The caller must call done when the request has ended.
func (s *modelServer) admit(r *modelRequest, picked choice) (done func(), refused *refusal) {
	text := r.caller.bundle
	release, overload := s.admission.Admit(admission.Request{
		Customer: text.Customer,
		Weight:   text.Limits.Weight,
		Limits: []admission.Limit{
			limit(text.Customer, text.Limits),
			limit(r.fullName, r.model.Limits),
		},
		Wait:   picked.Wait,
		Target: durationOf(r.model.FirstToken),
		Slots:  s.fleet.snapshot.Load().slots[r.model.Pool],
	})
	if overload != nil {
		s.demand.Miss(r.fullName, s.router.SlotTime(r.item))
		return nil, overloadRefusal(overload)
	}
	ended := s.demand.Begin(r.fullName)
	return func() { ended(); release() }, nil
}

// limit returns a bundle's limits as an admission limit, under the name that a refusal gives.
func limit(name string, l bundle.Limits) admission.Limit {
	return admission.Limit{Name: name, RequestsPerSecond: l.RequestsPerSecond, InFlight: l.InFlight}
}
