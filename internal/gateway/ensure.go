package gateway

import (
	"context"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// errNoHolder says that no machine is known to give orders.
const errNoHolder = errors.ConstError("no machine is known to hold the order lease: wait for the next one")

// ensure asks the order holder, which may be this machine.
func (c *cluster) ensure(ctx context.Context, service, model, adapter string) (residency.Ensured, error) {
	ensured, err := c.controller.Ensure(ctx, service, model, adapter)
	if !errors.Is(err, residency.ErrNotHolder) {
		return ensured, err
	}
	address, ok := c.holder()
	if !ok {
		return residency.Ensured{}, errNoHolder
	}
	request := ensureRequest{Service: service, Model: model, Adapter: adapter}
	answer, err := peer.Call[ensureAnswer](ctx, c.client, address, methodEnsure, request)
	if err != nil {
		return residency.Ensured{}, err
	}
	if answer.Error != "" {
		return answer.Ensured, errors.New(answer.Error)
	}
	return answer.Ensured, nil
}

func (c *cluster) answerEnsure(ctx context.Context, request ensureRequest) (ensureAnswer, error) {
	ensured, err := c.controller.Ensure(ctx, request.Service, request.Model, request.Adapter)
	answer := ensureAnswer{Ensured: ensured}
	if err != nil {
		answer.Error = err.Error()
	}
	return answer, nil
}
