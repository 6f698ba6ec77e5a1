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

// links owns the box's connections to others, and the server for peers.
type links struct {
	// platform makes the calls of the key-value service and the box list.
	platform *http.Client
	store    kv.Store
	peers    *peer.Client
	server   *peer.Server
	engines  *engineClients
	// plain makes calls of plain services that may be repeated; plainOnce those that may not, each on a connection of
	// its own.
	plain     *http.Client
	plainOnce *http.Client
}

func newLinks(config Config, self *self, log *zap.Logger, set *metrics.Set) *links {
	l := &links{
		platform:  &http.Client{Transport: plainTransport(config.Dial)},
		peers:     peer.NewClient(config.Peers.Secret, config.Dial, set),
		server:    peer.NewServer(config.Peers.Secret, set),
		engines:   newEngineClients(engine.NewHTTPClient(config.Dial)),
		plain:     &http.Client{Transport: plainTransport(config.Dial), CheckRedirect: noRedirect},
		plainOnce: &http.Client{Transport: onceTransport(config.Dial), CheckRedirect: noRedirect},
	}
	store := kv.NewEtcd(kv.EtcdConfig{URL: config.Platform.URL, Client: l.platform})
	budget := kv.Budget{ReadsPerSecond: config.Platform.ReadsPerSecond, WritesPerSecond: config.Platform.WritesPerSecond, Set: set}
	l.store = observed(kv.WithBudget(store, budget), self, log)
	return l
}

// observed notes and logs whether the key-value service answers.
func observed(store kv.Store, self *self, log *zap.Logger) kv.Store {
	return kv.Observed(store, func(err error) {
		down := errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrUnknown)
		if self.storeReachable.Swap(!down) == down {
			log.Info("key-value service", zap.Bool("reachable", !down))
		}
	})
}

// close ends all connections.
func (l *links) close() {
	l.server.Close()
	l.peers.Close()
	for _, client := range []*http.Client{l.platform, l.plain, l.plainOnce, l.engines.http} {
		client.CloseIdleConnections()
	}
}
