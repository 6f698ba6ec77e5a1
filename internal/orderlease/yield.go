package orderlease

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
)

// Handle registers the handlers of the yield and revoke calls of other boxes with a server. lastOrders returns how
// long ago this box gave each engine its last order.
func (l *Lease) Handle(server *peer.Server, lastOrders func() map[string]time.Duration) {
	peer.Handle(server, methodRevoke, l.handleRevoke)
	peer.Handle(server, methodYield, func(_ context.Context, request yieldRequest) (yieldAnswer, error) {
		return l.yield(request, lastOrders), nil
	})
}

// yield stops this box's orders under terms below the request's, and returns how long ago the last were given.
func (l *Lease) yield(request yieldRequest, lastOrders func() map[string]time.Duration) yieldAnswer {
	l.lease.Abandon(request.Term)
	l.handover.forgetOrders()
	l.Log.Info("orders yielded", zap.Int64("term", request.Term), zap.String("to", request.To))
	answer := l.handover.lastOrders(lastOrders())
	answer.Term = l.lease.LatestTerm()
	return answer
}
