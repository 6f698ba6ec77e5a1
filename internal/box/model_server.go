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

// modelServer serves callers' requests on models over Connect.
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
		return s.refuse(request, refused.unknownIfRetry(mayBeRetry(r.Msg)))
	}
	d := newDelivery(func(id string, index uint32, text string) error {
		return stream.Send(&ospreymoorv1.GenerateResponse{RequestId: id, Index: index, Text: text})
	})
	if refused := s.serve(ctx, request, d); refused != nil {
		return s.refuse(request, refused)
	}
	s.counters.countModelAnswer(request, d)
	return stream.Send(&ospreymoorv1.GenerateResponse{
		RequestId: d.id,
		Index:     d.nextIndex,
		End:       &ospreymoorv1.End{Count: d.nextIndex},
	})
}

// Complete returns a whole answer at once.
func (s *modelServer) Complete(ctx context.Context, r *connect.Request[ospreymoorv1.CompleteRequest]) (*connect.Response[ospreymoorv1.CompleteResponse], error) {
	message := r.Msg.GetRequest()
	if message == nil {
		message = &ospreymoorv1.GenerateRequest{}
	}
	request, refused := s.resolve(r.Header(), message)
	if refused != nil {
		return nil, s.refuse(request, refused.unknownIfRetry(mayBeRetry(message)))
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
	s.counters.countModelAnswer(request, d)
	return connect.NewResponse(&ospreymoorv1.CompleteResponse{RequestId: d.id, Text: text.String(), Count: d.nextIndex}), nil
}

// mayBeRetry reports whether an earlier attempt of a request that may not be repeated may have run.
func mayBeRetry(message *ospreymoorv1.GenerateRequest) bool {
	return message.GetNotRepeatable() && !message.GetFirstAttempt()
}

// resolve finds the caller's customer and the model in the bundle in force. With a refusal it returns what is known
// of the request so far, or nil if the caller is not known.
func (s *modelServer) resolve(header http.Header, message *ospreymoorv1.GenerateRequest) (*modelRequest, *refusal) {
	who, refused := s.inForce.authenticate(header)
	if refused != nil {
		return nil, refused
	}
	model, ok := who.bundle.Model(message.GetModel())
	if !ok {
		return nil, notRun(connect.CodeNotFound, reasonNotFound, "no such model in the bundle in force; see bundle list", 0)
	}
	r := &modelRequest{caller: who, model: model, fullName: who.bundle.Customer + "/" + model.Name, message: message}
	if message.GetAdapter() != "" {
		adapter, ok := who.bundle.Adapter(model.Name, message.GetAdapter())
		if !ok {
			return r, notRun(connect.CodeNotFound, reasonNotFound, "no such adapter on the model in the bundle in force; see bundle list", 0)
		}
		r.adapter = bundle.AdapterItem(who.bundle.Customer, adapter)
	}
	if message.GetNotRepeatable() {
		if refused := checkRequestKey(message.GetRequestKey()); refused != nil {
			return r, refused
		}
	}
	r.item = s.weights.choose(s.fleet.snapshot.Load(), r.fullName, bundle.ModelItem(who.bundle.Customer, model))
	return r, nil
}

// serve runs a request to its end. It either delivers a whole answer through d or returns a refusal.
func (s *modelServer) serve(ctx context.Context, r *modelRequest, d *delivery) *refusal {
	if r.message.GetNotRepeatable() {
		return s.serveOnce(ctx, r, d)
	}
	return s.serveRepeatable(ctx, r, d)
}

// refuse counts a refusal and returns it as an error for the caller.
func (s *modelServer) refuse(r *modelRequest, refused *refusal) error {
	s.counters.countModelRefusal(r, refused)
	return refused.connectError()
}
