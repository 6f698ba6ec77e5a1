package box

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// drain stops the box without cutting off a request: it turns unready, hands its leases
// over, goes on taking requests until the balancer has noticed, and waits for the last one.
func (b *Box) drain(server *http.Server, handOver func()) {
	b.self.draining.Store(true)
	wake(b.beatNow)
	b.log.Info("draining", zap.Int("in flight", b.admission.InFlight()))
	begun := time.Now()
	handOver()
	time.Sleep(time.Until(begun.Add(b.config.DrainNotice)))
	ctx, cancel := context.Background(), context.CancelFunc(func() {})
	if b.config.DrainLimit > 0 {
		ctx, cancel = context.WithTimeout(ctx, b.config.DrainLimit)
	}
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		b.log.Warn("requests cut off at the drain limit: raise --drain-limit", zap.Int("in flight", b.admission.InFlight()))
		_ = server.Close()
	}
	b.pushBurn(context.Background())
}
