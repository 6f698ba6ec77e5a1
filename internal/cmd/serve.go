package cmd

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/box"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// minLeaseTTL is the shortest lease that may be set: a lease is renewed three times within its TTL, and the store's
// unit is whole seconds.
const minLeaseTTL = 3 * time.Second

// serveCommand runs an entry box until SIGTERM or SIGINT, then drains it.
//
//	ospreymoor serve --id BOX --hall HALL --platform URL --listen ADDR --peer-listen ADDR [flags]
//
// The struct has one field for each flag and no nested ones, since a spec compares them with the page of settings.
type serveCommand struct {
	ID           string            `name:"id" env:"OSPREYMOOR_ID" help:"Name of this box in the platform's box list; the host's name if left out."`
	Hall         string            `name:"hall" env:"OSPREYMOOR_HALL" help:"Hall that this box stands in."`
	Platform     string            `name:"platform" env:"OSPREYMOOR_PLATFORM" help:"URL of the platform's key-value service and box list."`
	Listen       string            `name:"listen" env:"OSPREYMOOR_LISTEN" default:"127.0.0.1:8080" help:"Address for callers, operators and pages."`
	PeerListen   string            `name:"peer-listen" env:"OSPREYMOOR_PEER_LISTEN" default:"127.0.0.1:8081" help:"Address for other boxes."`
	PeerAddress  string            `name:"peer-address" env:"OSPREYMOOR_PEER_ADDRESS" help:"Address by which other boxes reach --peer-listen; the same if left out."`
	PeerSecret   string            `name:"peer-secret" env:"OSPREYMOOR_PEER_SECRET" help:"Secret that all boxes share."`
	Peer         []string          `name:"peer" env:"OSPREYMOOR_PEER" help:"Peer addresses to ask when the platform is down at the start."`
	Operator     map[string]string `name:"operator" env:"OSPREYMOOR_OPERATOR" mapsep:"," help:"Operators' tokens, as CUSTOMER=SHA256 in hex."`
	DrainNotice  time.Duration     `name:"drain-notice" env:"OSPREYMOOR_DRAIN_NOTICE" default:"5s" help:"How long a stopping box still takes requests, until the balancer has noticed."`
	DrainLimit   time.Duration     `name:"drain-limit" env:"OSPREYMOOR_DRAIN_LIMIT" default:"0s" help:"How long it then waits for requests in flight; 0 for ever."`
	KVReads      float64           `name:"kv-reads" env:"OSPREYMOOR_KV_READS" default:"100" help:"This box's share of the key-value service: reads a second."`
	KVWrites     float64           `name:"kv-writes" env:"OSPREYMOOR_KV_WRITES" default:"10" help:"This box's share of the key-value service: writes a second."`
	ClaimWindow  time.Duration     `name:"claim-window" env:"OSPREYMOOR_CLAIM_WINDOW" default:"1h" help:"How long request keys are remembered."`
	LeaseTTL     time.Duration     `name:"lease-ttl" env:"OSPREYMOOR_LEASE_TTL" default:"6s" help:"How long a lease lasts without renewal."`
	OrderLife    time.Duration     `name:"order-life" env:"OSPREYMOOR_ORDER_LIFE" default:"30s" help:"Longest time in which an order to an unfenced engine can take effect."`
	BeatInterval time.Duration     `name:"beat-interval" env:"OSPREYMOOR_BEAT_INTERVAL" default:"1s" help:"Time between heartbeats to other boxes."`
	HallDistance time.Duration     `name:"hall-distance" env:"OSPREYMOOR_HALL_DISTANCE" default:"5ms" help:"Extra time to reach an engine of another hall."`
	MoveCost     float64           `name:"move-cost" env:"OSPREYMOOR_MOVE_COST" default:"1" help:"What a load must gain to be worth it: 0.3 favours attainment, 3 few moves."`
	Copies       int               `name:"copies" env:"OSPREYMOOR_COPIES" default:"2" help:"Copies of each model where memory allows."`
	Spares       int               `name:"spare-engines" env:"OSPREYMOOR_SPARE_ENGINES" default:"1" help:"Engines of each pool whose loss a bundle must fit without."`
	MaxBody      int64             `name:"max-body" env:"OSPREYMOOR_MAX_BODY" default:"4194304" help:"Largest request body, in bytes."`
	LogLevel     string            `name:"log-level" env:"OSPREYMOOR_LOG_LEVEL" default:"info" enum:"debug,info,warn,error" help:"Least level of log lines."`
}

// Run runs the box.
func (c *serveCommand) Run(ctx context.Context, _ output) error {
	if err := c.setDefaults(); err != nil {
		return err
	}
	if err := c.check(); err != nil {
		return err
	}
	log, err := newLogger(c.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	return box.Run(ctx, c.config(log))
}

// setDefaults sets the settings that were left out: --id to the host's name, and --peer-address to --peer-listen.
func (c *serveCommand) setDefaults() error {
	if c.ID == "" {
		name, err := os.Hostname()
		if err != nil {
			return missingSetting("id", "name this box as the platform's box list does")
		}
		c.ID = name
	}
	if c.PeerAddress == "" {
		c.PeerAddress = c.PeerListen
	}
	return nil
}

// check returns an error for the first setting that is missing, invalid or contradicts another one.
func (c *serveCommand) check() error {
	if c.Hall == "" {
		return missingSetting("hall", "name the hall that this box stands in, such as hall-1")
	}
	if c.Platform == "" {
		return missingSetting("platform", "give the platform's URL, such as http://127.0.0.1:2379")
	}
	if u, err := url.Parse(c.Platform); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return invalidSetting("platform", c.Platform, "give a URL such as http://127.0.0.1:2379")
	}
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if err := c.checkOperators(); err != nil {
		return err
	}
	return c.checkNumbers()
}

// checkAddresses checks the listeners, the address for peers, and that a peer secret is set unless that address is
// on loopback.
func (c *serveCommand) checkAddresses() error {
	addresses := map[string]string{"listen": c.Listen, "peer-listen": c.PeerListen, "peer-address": c.PeerAddress}
	for _, flag := range []string{"listen", "peer-listen", "peer-address"} {
		if _, _, err := net.SplitHostPort(addresses[flag]); err != nil {
			return invalidSetting(flag, addresses[flag], "give IP:PORT, such as 127.0.0.1:8080")
		}
	}
	if c.Listen == c.PeerListen && !strings.HasSuffix(c.Listen, ":0") {
		return invalidSetting("peer-listen", c.PeerListen, "it is --listen too; choose another port")
	}
	host, _, _ := net.SplitHostPort(c.PeerAddress)
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return invalidSetting("peer-address", c.PeerAddress, "give the IP number by which other boxes reach this one")
	}
	if c.PeerSecret == "" && !ip.IsLoopback() {
		return missingSetting("peer-secret", "give all boxes the same secret; only on loopback it may be left out")
	}
	return nil
}

// checkOperators checks the digests of the operators' tokens.
func (c *serveCommand) checkOperators() error {
	for customer, digest := range c.Operator {
		if sum, err := hex.DecodeString(digest); err != nil || len(sum) != sha256.Size {
			return invalidSetting("operator", customer+"="+digest, "give 64 hex digits, from printf %s TOKEN | sha256sum")
		}
	}
	return nil
}

// checkNumbers checks durations, rates, counts and sizes.
func (c *serveCommand) checkNumbers() error {
	durations := map[string]time.Duration{
		"claim-window": c.ClaimWindow, "lease-ttl": c.LeaseTTL, "order-life": c.OrderLife, "beat-interval": c.BeatInterval,
	}
	for _, flag := range []string{"claim-window", "lease-ttl", "order-life", "beat-interval"} {
		if durations[flag] <= 0 {
			return invalidSetting(flag, durations[flag], "give a time above 0, such as 6s")
		}
	}
	if c.LeaseTTL < minLeaseTTL {
		return invalidSetting("lease-ttl", c.LeaseTTL, "give 3s or more: a lease is renewed three times in that time")
	}
	if c.DrainNotice < 0 || c.DrainLimit < 0 {
		return invalidSetting("drain-notice", c.DrainNotice, "give times of 0 or more")
	}
	if c.KVReads <= 0 || c.KVWrites <= 0 {
		return invalidSetting("kv-reads", c.KVReads, "give calls a second above 0, and so for --kv-writes")
	}
	if c.Copies < 1 {
		return invalidSetting("copies", c.Copies, "give 1 or more")
	}
	if c.MoveCost < 0 || c.Spares < 0 {
		return invalidSetting("move-cost", c.MoveCost, "give 0 or more, and so for --spare-engines")
	}
	if c.MaxBody <= 0 {
		return invalidSetting("max-body", c.MaxBody, "give bytes above 0, such as 4194304")
	}
	return nil
}

// config returns the box's configuration, which groups the settings by the part of the box that uses them.
func (c *serveCommand) config(log *zap.Logger) box.Config {
	return box.Config{
		ID:        c.ID,
		Hall:      c.Hall,
		Listen:    c.Listen,
		Operators: c.Operator,
		Peers: box.PeerConfig{
			Listen:            c.PeerListen,
			Address:           c.PeerAddress,
			Secret:            c.PeerSecret,
			Known:             c.Peer,
			HeartbeatInterval: c.BeatInterval,
		},
		Platform: box.PlatformConfig{URL: c.Platform, ReadsPerSecond: c.KVReads, WritesPerSecond: c.KVWrites},
		Drain:    box.DrainConfig{Notice: c.DrainNotice, Limit: c.DrainLimit},
		Requests: box.RequestConfig{MaxBody: c.MaxBody, ClaimWindow: c.ClaimWindow, HallDistance: c.HallDistance},
		Control: box.ControlConfig{
			LeaseTTL:  c.LeaseTTL,
			OrderLife: c.OrderLife,
			Placement: placement.Settings{MoveCost: c.MoveCost, Replicas: c.Copies, SpareEngines: c.Spares},
		},
		Log: log,
	}
}

// newLogger returns a logger that writes lines of at least the given level as JSON.
func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, invalidSetting("log-level", level, "give debug, info, warn or error")
	}
	config := zap.NewProductionConfig()
	config.Level = parsed
	config.Sampling = nil
	log, err := config.Build(zap.WithCaller(false))
	return log, errors.Trace(err)
}
