package gateway

import (
	"time"

	"go.uber.org/zap"
)

// watchLinks logs and exports whether this box reaches any upstream over its own links.
func (g *Gateway) watchLinks() {
	g.Links.OnSuspected = func(upstreams int, silence time.Duration) {
		g.Log.Info("links to upstreams suspected: several failed and none answered meanwhile",
			zap.Int("upstreams", upstreams), zap.Duration("silence", silence))
	}
	g.Links.OnContact = func(after time.Duration) {
		g.Log.Info("links to upstreams no longer suspected", zap.Duration("after", after))
	}
	g.Metrics.NewGauge("ospreymoor_upstream_links_suspected", func() float64 {
		if g.Links.Suspected() {
			return 1
		}
		return 0
	})
}
