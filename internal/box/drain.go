package box

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// drain stops the box and cuts off no request before Drain.Limit. In this order, it becomes unready and announces
// that to its peers, hands over its leases, goes on taking requests until the balancer has noticed, waits for the
// last request, and sends its counters to their keepers. The drain notice counts from the beginning, so handing over
// does not shorten it.
func (b *Box) drain(server *http.Server, handOver func()) {
	b.self.draining.Store(true)
	wake(b.heartbeats.sendSoon)
	b.log.Info("draining", zap.Int("in flight", b.admission.InFlight()))
	begun := time.Now()
	handOver()
	time.Sleep(time.Until(begun.Add(b.config.Drain.Notice)))
	ctx, cancel := context.Background(), context.CancelFunc(func() {})
	if b.config.Drain.Limit > 0 {
		ctx, cancel = context.WithTimeout(ctx, b.config.Drain.Limit)
	}
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		b.log.Warn("requests cut off at the drain limit: raise --drain-limit", zap.Int("in flight", b.admission.InFlight()))
		_ = server.Close()
	}
	b.burn.push(context.Background())
}
