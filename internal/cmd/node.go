package cmd

import (
	"context"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap/zapcore"

	"ospreymoor.example/ospreymoor/internal/logging"
	"ospreymoor.example/ospreymoor/platform"
)

// nodeCommand runs one box on the users' platform until SIGTERM, then drains it. On SIGHUP the box reads
// and checks the settings file again.
//
//	ospreymoor node --settings FILE [flags]
//
// An order lease of 3 s tolerates the loss of its holder better than one of 5 s, but tolerates freezes less well
// (docs/design/platform.md, "The order lease"). A load cost of 0.3 squared engine time keeps replicas from
// moving with random changes of demand: the mean score over 18 simulated days was 0.547, 0.586, 0.597, 0.591
// and 0.579 at load costs of 0.03, 0.1, 0.3, 0.6 and 1.2 (docs/rounds/01-placement.md). The score is the share
// of the value of all requests, 0 to 1, that was earned by serving them in time.
type nodeCommand struct {
	Settings    string        `name:"settings" env:"OSPREYMOOR_NODE_FILE" default:"/etc/ospreymoor/local.yaml" help:"The platform's settings file."`
	MetricsPort int           `name:"metrics-port" env:"OSPREYMOOR_METRICS_PORT" default:"0" help:"Port for metrics on the box's address; 0 serves none."`
	LeaseTTL    time.Duration `name:"order-lease-ttl" env:"OSPREYMOOR_ORDER_LEASE_TTL" default:"3s" help:"How long the order lease lasts without a renewal."`
	MoveCost    float64       `name:"load-cost" env:"OSPREYMOOR_LOAD_COST" default:"0.3" help:"What a model's load must gain at least, in squared engine time."`
	LogLevel    string        `name:"node-log-level" env:"OSPREYMOOR_NODE_LOG_LEVEL" default:"info" enum:"debug,info,warn,error" help:"Least level of log lines."`
}

const (
	// minOrderLeaseTTL is the shortest order lease that may be set: a lease is renewed three times within its
	// TTL.
	minOrderLeaseTTL = 3 * time.Second
	// maxPort is the highest TCP port.
	maxPort = 65535
)

// Run runs the box.
func (c *nodeCommand) Run(ctx context.Context, _ output) error {
	if c.LeaseTTL < minOrderLeaseTTL {
		return invalidSetting("order-lease-ttl", c.LeaseTTL, "give 3s or more: a lease is renewed three times in that time")
	}
	if c.MoveCost < 0 {
		return invalidSetting("load-cost", c.MoveCost, "give 0 or more")
	}
	if c.MetricsPort < 0 || c.MetricsPort > maxPort {
		return invalidSetting("metrics-port", c.MetricsPort, "give a port, or 0")
	}
	level, err := zapcore.ParseLevel(c.LogLevel)
	if err != nil {
		return invalidSetting("node-log-level", c.LogLevel, "give debug, info, warn or error")
	}
	set := metrics.NewSet()
	sink := logging.NewSink(os.Stdout, set)
	defer sink.Close()
	return platform.Run(ctx, platform.Options{
		SettingsFile: c.Settings,
		MetricsPort:  c.MetricsPort,
		LeaseTTL:     c.LeaseTTL,
		MoveCost:     c.MoveCost,
		Log:          logging.New(level, sink, set),
		Lifecycle:    logging.Lifecycle(sink),
		Metrics:      set,
		Reload:       reloadSignals,
	})
}
