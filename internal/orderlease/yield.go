package orderlease

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
)

// Handle has a server answer the yield and revoke calls of other boxes. lastOrders returns how long
// ago this box gave engines their last orders.
func (l *Lease) Handle(server *peer.Server, lastOrders func() map[string]time.Duration) {
	peer.Handle(server, methodRevoke, l.answerRevoke)
	peer.Handle(server, methodYield, func(_ context.Context, request yieldRequest) (yieldAnswer, error) {
		return l.yield(request, lastOrders), nil
	})
}

// yield stops this box's orders under older terms, and returns when the last were given.
func (l *Lease) yield(request yieldRequest, lastOrders func() map[string]time.Duration) yieldAnswer {
	l.lease.Abandon(request.Term)
	l.Log.Info("orders yielded", zap.Int64("term", request.Term), zap.String("to", request.To))
	return l.handover.lastOrders(lastOrders())
}
