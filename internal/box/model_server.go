package box

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// modelServer serves callers' requests on models, over Connect.
type modelServer struct {
	inForce   *bundlesInForce
	fleet     *fleetState
	router    *routing.Router
	weights   *weightTable
	demand    *demand
	admission *admission.Controller
	retries   *routing.RetryBudget
	runs      *engineRuns
	claimed   *claimedRuns
	counters  *requestCounters
}

// Generate streams an answer.
func (s *modelServer) Generate(ctx context.Context, r *connect.Request[ospreymoorv1.GenerateRequest], stream *connect.ServerStream[ospreymoorv1.GenerateResponse]) error {
	request, refused := s.resolve(r.Header(), r.Msg)
	if refused != nil {
		return s.refuse(request, refused.unlessRetry(mayBeRetry(r.Msg)))
	}
	d := newDelivery(func(id string, index uint32, text string) error {
		return stream.Send(&ospreymoorv1.GenerateResponse{RequestId: id, Index: index, Text: text})
	})
	if refused := s.serve(ctx, request, d); refused != nil {
		return s.refuse(request, refused)
	}
	s.counters.servedModel(request, d)
	return stream.Send(&ospreymoorv1.GenerateResponse{
		RequestId: d.id,
		Index:     d.next,
		End:       &ospreymoorv1.End{Count: d.next},
	})
}

// Complete returns a whole answer.
func (s *modelServer) Complete(ctx context.Context, r *connect.Request[ospreymoorv1.CompleteRequest]) (*connect.Response[ospreymoorv1.CompleteResponse], error) {
	message := r.Msg.GetRequest()
	if message == nil {
		message = &ospreymoorv1.GenerateRequest{}
	}
	request, refused := s.resolve(r.Header(), message)
	if refused != nil {
		return nil, s.refuse(request, refused.unlessRetry(mayBeRetry(message)))
	}
	var text strings.Builder
	d := newDelivery(func(_ string, _ uint32, piece string) error {
		text.WriteString(piece)
		return nil
	})
	d.restart = text.Reset
	if refused := s.serve(ctx, request, d); refused != nil {
		return nil, s.refuse(request, refused)
	}
	s.counters.servedModel(request, d)
	return connect.NewResponse(&ospreymoorv1.CompleteResponse{RequestId: d.id, Text: text.String(), Count: d.next}), nil
}

// mayBeRetry reports whether an earlier attempt of a request that may not be repeated may have run.
func mayBeRetry(message *ospreymoorv1.GenerateRequest) bool {
	return message.GetNotRepeatable() && !message.GetFirstAttempt()
}

// resolve finds the caller's customer and the model in the bundle in force. A refusal comes with the request as far
// as it is known.
func (s *modelServer) resolve(header http.Header, message *ospreymoorv1.GenerateRequest) (*modelRequest, *refusal) {
	who, refused := s.inForce.authenticate(header)
	if refused != nil {
		return nil, refused
	}
	model, ok := who.bundle.Model(message.GetModel())
	if !ok {
		return nil, notRun(connect.CodeNotFound, reasonNotFound, "no such model in the bundle in force; see bundle list", 0)
	}
	r := &modelRequest{caller: who, model: model, key: who.bundle.Customer + "/" + model.Name, message: message}
	if message.GetAdapter() != "" {
		adapter, ok := who.bundle.Adapter(model.Name, message.GetAdapter())
		if !ok {
			return r, notRun(connect.CodeNotFound, reasonNotFound, "no such adapter on the model in the bundle in force; see bundle list", 0)
		}
		r.adapter = bundle.AdapterItem(who.bundle.Customer, adapter)
	}
	if message.GetNotRepeatable() {
		if refused := checkKey(message.GetRequestKey()); refused != nil {
			return r, refused
		}
	}
	r.item = s.weights.choose(s.fleet.snapshot.Load(), r.key, bundle.ModelItem(who.bundle.Customer, model))
	return r, nil
}

// serve runs a request to its end: a whole answer in d, or a refusal.
func (s *modelServer) serve(ctx context.Context, r *modelRequest, d *delivery) *refusal {
	if r.message.GetNotRepeatable() {
		return s.serveOnce(ctx, r, d)
	}
	return s.serveRepeatable(ctx, r, d)
}

// refuse counts a refusal and turns it into the caller's error.
func (s *modelServer) refuse(r *modelRequest, refused *refusal) error {
	s.counters.refusedModel(r, refused)
	return refused.connectError()
}
