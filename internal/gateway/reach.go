package gateway

import (
	"time"

	"go.uber.org/zap"
)

// watchReach logs and exports which halls this box does not reach. It closes the idle connections to a hall that turns
// out of reach: a request on one of them would fail after it was sent, and so might have run, while a connection that
// cannot be made shows that it did not.
func (g *Gateway) watchReach() {
	g.Reach.OnLost = func(hall string) {
		upstreams := g.Directory.InHall(hall)
		for _, id := range upstreams {
			g.Upstreams.Forget(id)
		}
		g.Log.Info("hall out of reach: its upstreams are avoided", zap.String("hall", hall), zap.Int("upstreams", len(upstreams)))
	}
	g.Reach.OnRegained = func(hall string, after time.Duration) {
		g.Log.Info("hall within reach again", zap.String("hall", hall), zap.Duration("after", after))
	}
	g.Metrics.NewGauge("ospreymoor_halls_out_of_reach", func() float64 { return float64(g.Reach.Lost()) })
}
