package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/places"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Places takes and returns places at the upstreams of plain services. Without Ask, or if it returns an error,
// requests are placed by the reported loads.
type Places struct {
	// Counted reports whether places are counted in this fleet.
	Counted func() bool
	// Ask asks the keeper of a service for a place. It may hold the ask for a moment.
	Ask func(ctx context.Context, ask places.Ask) (places.Answer, error)
	// Return gives back a place or withdraws an ask.
	Return func(service string, back places.Return)
}

// maxPlacedUpstreams is the number of upstreams of a service up to which its places are counted. One keeper counts
// them for all boxes; with more upstreams a box finds one with a free slot by the reported loads, too.
const maxPlacedUpstreams = 16

// minAimLeft is stated for a request whose target has passed, since 0 means that it has none.
const minAimLeft = time.Microsecond

// placeState is a request's place at an upstream of a plain service.
type placeState struct {
	// id is that of the latest ask; 0 if it was returned or there was none. upstream is where the place is; empty
	// while the request waits.
	id       uint64
	upstream string
	takenAt  time.Time
	// answer is the keeper's latest answer, and waited how long the request waited for places.
	answer places.Answer
	waited time.Duration
	// asked is set once a keeper has answered.
	asked bool
}

// placedCandidates is candidates, narrowed to the upstream where the request has a place, if places are counted
// there. It waits for a place. It returns the refusal of a request that cannot be served before its deadline.
func (r *inflight) placedCandidates(ctx context.Context) (list []*fleet.State, lacking reason, refused *refusal) {
	r.endPlace(places.Unused) // An upstream whose place could not be used for a send.
	started := time.Now()
	for {
		list, lacking = r.candidates()
		if !r.placesCounted(list) {
			r.endPlace(places.Unused)
			return list, lacking, nil
		}
		answer, err := r.askPlace(ctx, list)
		r.place.waited += time.Since(started)
		started = time.Now()
		switch {
		case ctx.Err() != nil:
			return nil, "", r.contextRefusal(ctx)
		case err != nil, answer.None:
			// The error is not logged: the caller of the keeper logs when it loses and regains it.
			r.endPlace(places.Unused)
			return list, lacking, nil
		case answer.Denied:
			r.place.id = 0
			return nil, "", r.refusalFor(reasonFull, answer.Wait)
		case answer.Upstream == "":
			continue
		}
		r.place.upstream, r.place.takenAt = answer.Upstream, time.Now()
		at := slices.IndexFunc(list, func(state *fleet.State) bool { return state.ID == answer.Upstream })
		if at < 0 {
			r.endPlace(places.Unused) // The keeper knows an upstream that this box does not know yet.
			return list, lacking, nil
		}
		return list[at : at+1], "", nil
	}
}

// placesCounted reports whether the places at the candidates are counted: it is a plain service, their entries give
// slots, and they are few.
func (r *inflight) placesCounted(candidates []*fleet.State) bool {
	if r.gateway.Places.Ask == nil || !r.gateway.Places.Counted() || r.need.Model != "" || r.route.Kind == routes.Stream || len(candidates) == 0 {
		return false
	}
	if len(r.gateway.Directory.OfService(r.service)) > maxPlacedUpstreams {
		return false
	}
	return !slices.ContainsFunc(candidates, func(state *fleet.State) bool { return state.Slots <= 0 })
}

// askPlace asks for a place at one of the candidates.
func (r *inflight) askPlace(ctx context.Context, candidates []*fleet.State) (places.Answer, error) {
	if r.place.id == 0 {
		r.place.id = rand.Uint64() | 1
	}
	ask := places.Ask{Service: r.service, ID: r.place.id, Hall: r.gateway.Chooser.Hall, Urgency: r.need.Urgency}
	if r.route.Target > 0 {
		ask.Aim = max(minAimLeft, r.route.Target-time.Since(r.request.Arrived))
	}
	if !r.deadlines.answer.IsZero() {
		ask.Deadline = max(minAimLeft, time.Until(r.deadlines.answer))
	}
	for _, state := range r.gateway.Directory.OfService(r.service) {
		if !slices.Contains(candidates, state) {
			ask.Except = append(ask.Except, state.ID)
		}
	}
	answer, err := r.gateway.Places.Ask(ctx, ask)
	if err == nil {
		r.place.answer, r.place.asked = answer, true
	}
	r.gateway.countPlaceAsk(answer, err)
	return answer, err
}

// endPlace returns the request's place or withdraws its ask, if it has any.
func (r *inflight) endPlace(result places.Result) {
	if r.place.id == 0 {
		return
	}
	back := places.Return{ID: r.place.id, Result: result}
	if r.place.upstream != "" {
		back.Took = time.Since(r.place.takenAt)
	}
	r.gateway.Places.Return(r.service, back)
	r.place.id, r.place.upstream = 0, ""
}

// countPlaceAsk counts an ask for a place by its result.
func (g *Gateway) countPlaceAsk(answer places.Answer, err error) {
	result := "waits"
	switch {
	case err != nil:
		result = "lost"
	case answer.None:
		result = "none"
	case answer.Denied:
		result = "denied"
	case answer.Upstream != "":
		result = "granted"
	}
	g.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_place_asks_total{result=%q}", result)).Inc()
}

// placeField is what the keeper knew when it answered the request's latest ask.
func (r *inflight) placeField() zap.Field {
	if !r.place.asked {
		return zap.Skip()
	}
	return zap.Object("places", zapcore.ObjectMarshalerFunc(func(object zapcore.ObjectEncoder) error {
		answer := r.place.answer
		object.AddInt("known", answer.Known)
		object.AddInt("taken", answer.Taken)
		object.AddInt("waiting", answer.Waiting)
		object.AddDuration("age", answer.Age)
		object.AddDuration("waited", r.place.waited)
		object.AddBool("denied", answer.Denied)
		return nil
	}))
}
