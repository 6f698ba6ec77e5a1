package cluster

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/logfield"
)

// errKeeperLost means that a keeper recently failed to answer and may not be called again yet.
const errKeeperLost = errors.ConstError("keeper did not answer lately: it is asked again soon")

// keeperCall is a call of a keeper on another box.
type keeperCall struct {
	Members *Members
	Client  *peer.Client
	Log     *zap.Logger
	Method  string
	Keeper  Box
	// Timeout bounds the call within its context. If the context ends before it, that does not count as a failure of
	// the keeper. With 0, the context alone bounds the call, and its end counts.
	Timeout time.Duration
}

// callKeeper makes a call unless the keeper recently failed to answer, and records the result. The error is
// errKeeperLost or that of the call.
func callKeeper[A any](ctx context.Context, call keeperCall, params any) (A, error) {
	if !call.Members.mayCallKeeper(call.Keeper.Name, call.Method, time.Now()) {
		var none A
		return none, errKeeperLost
	}
	bounded := ctx
	if call.Timeout > 0 {
		var cancel context.CancelFunc
		bounded, cancel = context.WithTimeout(ctx, call.Timeout)
		defer cancel()
	}
	answer, err := peer.CallKeepingConn[A](bounded, call.Client, call.Keeper.Address, call.Method, params)
	if call.Timeout == 0 || ctx.Err() == nil {
		call.recordResult(err)
	}
	return answer, err
}

// recordResult records whether the keeper answered, and logs when that changes.
func (c *keeperCall) recordResult(err error) {
	name := c.Keeper.Name
	switch {
	case err != nil && c.Members.recordKeeperFailure(name, c.Method, time.Now()):
		c.Log.Info("keeper lost", zap.String("peer", name), zap.String("method", c.Method), logfield.Error(err))
	case err == nil && c.Members.recordKeeperAnswer(name, c.Method):
		c.Log.Info("keeper regained", zap.String("peer", name), zap.String("method", c.Method))
	}
}
