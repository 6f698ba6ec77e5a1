package box

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/burn"
)

// inference serves callers' requests on models.
type inference struct{ *Box }

// job is one caller's request on a model, resolved against the bundle in force.
type job struct {
	caller  caller
	model   bundle.Model
	key     string // customer/model
	item    string
	adapter string
	request *ospreymoorv1.GenerateRequest
	// refusedBy holds the engines that did not take the request.
	refusedBy map[string]bool
}

// Generate streams an answer.
func (s inference) Generate(ctx context.Context, r *connect.Request[ospreymoorv1.GenerateRequest], stream *connect.ServerStream[ospreymoorv1.GenerateResponse]) error {
	j, refused := s.resolve(r.Header(), r.Msg)
	if refused != nil {
		return s.refuse(j, refused.unlessRetry(r.Msg.GetNotRepeatable() && !r.Msg.GetFirstAttempt()))
	}
	d := newDelivery(func(id string, index uint32, text string) error {
		return stream.Send(&ospreymoorv1.GenerateResponse{RequestId: id, Index: index, Text: text})
	})
	if refused := s.serve(ctx, j, d); refused != nil {
		return s.refuse(j, refused)
	}
	s.served(j, d)
	return stream.Send(&ospreymoorv1.GenerateResponse{
		RequestId: d.id,
		Index:     d.next,
		End:       &ospreymoorv1.End{Count: d.next},
	})
}

// Complete returns a whole answer.
func (s inference) Complete(ctx context.Context, r *connect.Request[ospreymoorv1.CompleteRequest]) (*connect.Response[ospreymoorv1.CompleteResponse], error) {
	request := r.Msg.GetRequest()
	if request == nil {
		request = &ospreymoorv1.GenerateRequest{}
	}
	j, refused := s.resolve(r.Header(), request)
	if refused != nil {
		return nil, s.refuse(j, refused.unlessRetry(request.GetNotRepeatable() && !request.GetFirstAttempt()))
	}
	var text strings.Builder
	d := newDelivery(func(_ string, _ uint32, piece string) error {
		text.WriteString(piece)
		return nil
	})
	d.restart = text.Reset
	if refused := s.serve(ctx, j, d); refused != nil {
		return nil, s.refuse(j, refused)
	}
	s.served(j, d)
	return connect.NewResponse(&ospreymoorv1.CompleteResponse{RequestId: d.id, Text: text.String(), Count: d.next}), nil
}

// resolve finds the caller's customer and the model in the bundle in force.
func (b *Box) resolve(header http.Header, r *ospreymoorv1.GenerateRequest) (*job, *refusal) {
	who, refused := b.inForce.authenticate(header)
	if refused != nil {
		return nil, refused
	}
	model, ok := who.bundle.Model(r.GetModel())
	if !ok {
		return nil, notRun(connect.CodeNotFound, reasonNotFound, "no such model in the bundle in force; see bundle list", 0)
	}
	j := &job{caller: who, model: model, key: who.bundle.Customer + "/" + model.Name, request: r}
	if r.GetAdapter() != "" {
		adapter, ok := who.bundle.Adapter(model.Name, r.GetAdapter())
		if !ok {
			return j, notRun(connect.CodeNotFound, reasonNotFound, "no such adapter on the model in the bundle in force; see bundle list", 0)
		}
		j.adapter = bundle.AdapterItem(who.bundle.Customer, adapter)
	}
	if r.GetNotRepeatable() {
		if refused := checkKey(r.GetRequestKey()); refused != nil {
			return j, refused
		}
	}
	j.item = b.weights.choose(b.fleet.snapshot.Load(), j.key, bundle.ModelItem(who.bundle.Customer, model))
	return j, nil
}

func checkKey(key string) *refusal {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return notRun(connect.CodeInvalidArgument, reasonKey, "a request that may not be repeated needs a request key: a UUIDv7, kept across retries", 0)
	}
	return nil
}

// admit asks admission about a job whose wait is estimated.
func (b *Box) admit(j *job, choice choice) (func(), *refusal) {
	text := j.caller.bundle
	done, refused := b.admission.Admit(admission.Request{
		Customer: text.Customer,
		Weight:   text.Limits.Weight,
		Limits: []admission.Limit{
			limit(text.Customer, text.Limits),
			limit(j.key, j.model.Limits),
		},
		Wait:   choice.Wait,
		Target: durationOf(j.model.FirstToken),
		Slots:  b.fleet.snapshot.Load().slots[j.model.Pool],
	})
	if refused != nil {
		b.demand.Miss(j.key, b.router.Service(j.item))
		return nil, admissionRefusal(refused)
	}
	ended := b.demand.Begin(j.key)
	return func() { ended(); done() }, nil
}

// admissionRefusal is admission's refusal as callers get it.
func admissionRefusal(r *admission.Refusal) *refusal {
	remedy := "send it again then"
	if r.Limit != "" {
		remedy = "limit of " + r.Limit + ": " + remedy + ", or have it raised in the bundle"
	}
	return notRun(connect.CodeResourceExhausted, r.Reason, remedy, r.RetryAfter)
}

func limit(name string, l bundle.Limits) admission.Limit {
	return admission.Limit{Name: name, RequestsPerSecond: l.RequestsPerSecond, InFlight: l.InFlight}
}

// refuse counts a refusal and turns it into the caller's error.
func (b *Box) refuse(j *job, r *refusal) error {
	if j != nil {
		b.count(j.caller.bundle.Customer, j.model.Name, j.model.Objective, r)
	} else {
		b.countRefused("", r)
	}
	return r.connectError()
}

// count takes a request without a whole answer into the counters; into those of the burn report
// only if it was not the caller's own fault.
func (b *Box) count(customer, name string, objective float64, r *refusal) {
	result := burn.Refused
	if r.outcome == ospreymoorv1.Outcome_OUTCOME_UNKNOWN {
		result = burn.Failed
	}
	if !r.callersFault() {
		b.burn.Record(customer, name, objective, result, r.reason)
	}
	b.countRefused(customer, r)
}
