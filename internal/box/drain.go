package box

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// drain stops the box without cutting off a request, in this order: it turns unready and sends so to its peers, hands
// its leases over, goes on taking requests until the balancer has noticed, waits for the last one, and gives its
// counters to their keepers. The notice counts from the beginning, so handing over takes nothing from it.
func (b *Box) drain(server *http.Server, handOver func()) {
	b.self.draining.Store(true)
	wake(b.heartbeats.soon)
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
