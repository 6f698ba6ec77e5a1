package cluster

import (
	"context"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// errNoHolder means that no order holder is known.
const errNoHolder = errors.ConstError("no box is known to hold the order lease: wait for the next one")

// Ensurer requests models and adapters from the order holder.
type Ensurer struct {
	Members    *Members
	Client     *peer.Client
	Controller *residency.Controller
}

// Handle registers the method by which the order holder answers these requests.
func (e *Ensurer) Handle(server *peer.Server) { peer.Handle(server, methodEnsure, e.answer) }

// Ensure requests an adapter or model from the order holder, which may be this box. The error is errNoHolder, that
// of the call, or the holder's refusal.
func (e *Ensurer) Ensure(ctx context.Context, want residency.Want) (residency.EnsureResult, error) {
	ensured, err := e.Controller.Ensure(ctx, want)
	if !errors.Is(err, residency.ErrNotHolder) {
		return ensured, err
	}
	address, ok := e.Members.Holder()
	if !ok {
		return residency.EnsureResult{}, errNoHolder
	}
	request := ensureRequest{Want: want}
	answer, err := peer.Call[ensureAnswer](ctx, e.Client, address, methodEnsure, request)
	if err != nil {
		return residency.EnsureResult{}, err
	}
	if answer.Error != "" {
		return answer.EnsureResult, errors.New(answer.Error)
	}
	return answer.EnsureResult, nil
}

func (e *Ensurer) answer(ctx context.Context, request ensureRequest) (ensureAnswer, error) {
	ensured, err := e.Controller.Ensure(ctx, request.Want)
	answer := ensureAnswer{EnsureResult: ensured}
	if err != nil {
		answer.Error = err.Error()
	}
	return answer, nil
}
