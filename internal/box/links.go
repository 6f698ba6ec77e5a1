package box

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/engine"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

// connections owns the box's connections to others, and the server for peers.
type connections struct {
	// platform calls the key-value service and the box list.
	platform *http.Client
	store    kv.Store
	peers    *peer.Client
	server   *peer.Server
	engines  *engineClients
	// serviceClient makes the calls of plain services that may be repeated. serviceOnceClient makes those that may
	// not be, each on a connection of its own.
	serviceClient     *http.Client
	serviceOnceClient *http.Client
}

func newConnections(config Config, self *self, log *zap.Logger, set *metrics.Set) *connections {
	c := &connections{
		platform:          &http.Client{Transport: httpTransport(config.Dial)},
		peers:             peer.NewClient(config.Peers.Secret, config.Dial, set),
		server:            peer.NewServer(config.Peers.Secret, set),
		engines:           newEngineClients(engine.NewHTTPClient(config.Dial)),
		serviceClient:     &http.Client{Transport: httpTransport(config.Dial), CheckRedirect: noRedirect},
		serviceOnceClient: &http.Client{Transport: onceTransport(config.Dial), CheckRedirect: noRedirect},
	}
	store := kv.NewEtcd(kv.EtcdConfig{URL: config.Platform.URL, Client: c.platform})
	budget := kv.Budget{ReadsPerSecond: config.Platform.ReadsPerSecond, WritesPerSecond: config.Platform.WritesPerSecond, Metrics: set}
	c.store = observeStore(kv.WithBudget(store, budget), self, log)
	return c
}

// observeStore wraps a store so that it records and logs whether the key-value service is reachable.
func observeStore(store kv.Store, self *self, log *zap.Logger) kv.Store {
	return kv.Observed(store, func(err error) {
		down := errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrUnknown)
		if self.storeReachable.Swap(!down) == down {
			log.Info("key-value service", zap.Bool("reachable", !down))
		}
	})
}

// close closes all connections.
func (c *connections) close() {
	c.server.Close()
	c.peers.Close()
	for _, client := range []*http.Client{c.platform, c.serviceClient, c.serviceOnceClient, c.engines.http} {
		client.CloseIdleConnections()
	}
}
