package cluster

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/logfield"
)

// errKeeperLost means that a keeper did not answer a moment ago and is not asked again yet.
const errKeeperLost = errors.ConstError("keeper did not answer lately: it is asked again soon")

// keeperCall is a call of another box that keeps what all boxes share.
type keeperCall struct {
	Members *Members
	Client  *peer.Client
	Log     *zap.Logger
	Method  string
	Keeper  Box
	// Timeout bounds the call within its context, whose own end then shows nothing of the keeper; 0, and the context alone
	// bounds it.
	Timeout time.Duration
}

// askKeeper makes a call, unless the keeper did not answer a moment ago, and notes whether it answers. The error is
// errKeeperLost or that of the call.
func askKeeper[A any](ctx context.Context, call keeperCall, params any) (A, error) {
	if !call.Members.asksKeeper(call.Keeper.Name, call.Method, time.Now()) {
		var none A
		return none, errKeeperLost
	}
	bounded := ctx
	if call.Timeout > 0 {
		var cancel context.CancelFunc
		bounded, cancel = context.WithTimeout(ctx, call.Timeout)
		defer cancel()
	}
	answer, err := peer.Try[A](bounded, call.Client, call.Keeper.Address, call.Method, params)
	if call.Timeout == 0 || ctx.Err() == nil {
		call.note(err)
	}
	return answer, err
}

// note notes whether the keeper answered, and logs when that changes.
func (c *keeperCall) note(err error) {
	name := c.Keeper.Name
	switch {
	case err != nil && c.Members.keeperLost(name, c.Method, time.Now()):
		c.Log.Info("keeper lost", zap.String("peer", name), zap.String("method", c.Method), logfield.Error(err))
	case err == nil && c.Members.keeperAnswered(name, c.Method):
		c.Log.Info("keeper regained", zap.String("peer", name), zap.String("method", c.Method))
	}
}
