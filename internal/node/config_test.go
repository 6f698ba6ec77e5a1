package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/gateway"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestNode(t *testing.T) { spectest.Run(t, "Node") }

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// testConfig returns the configuration of a box on a store. The value of an upstream's record is the upstream's id.
func testConfig(name, hall, address string, store kv.Store, dial dialFunc) Config {
	return Config{
		Name: name, Hall: hall, Cores: 0.2, PeerAddress: address,
		Platform: Platform{
			Store: store, ConfigPrefix: "config", UpstreamPrefix: "servers/", OwnPrefix: "own/",
			DecodeTable: func(map[string]kv.Record) (*routes.Table, error) {
				return routes.New(1, nil, nil, routes.Limits{}), nil
			},
			DecodeUpstream: func(record kv.Record) (fleet.Upstream, error) {
				return fleet.Upstream{ID: string(record.Value), Service: "s", Revision: record.Revision}, nil
			},
		},
		Upstreams:  gateway.Upstreams{Forget: func(string) {}, Engines: residency.Engines{}},
		Quarantine: quarantine.DefaultPolicy,
		CrashParts: quarantine.DefaultPartPolicy,

		OrderGap: 100 * time.Millisecond, LeaseTTL: 2 * time.Second, Dial: dial, Log: zap.NewNop(), Metrics: metrics.NewSet(),
	}
}
