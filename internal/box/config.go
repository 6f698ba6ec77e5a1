package box

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/placement"
)

// Config is all that a box is given from outside; `ospreymoor serve` fills it from its flags.
type Config struct {
	// ID is the box's name in the platform's box list.
	ID   string
	Hall string
	// Listen is where callers, operators and pages are served.
	Listen string
	// Operators holds the SHA-256 of each operator's token, in hex, by customer.
	Operators map[string]string

	Peers    PeerConfig
	Platform PlatformConfig
	Drain    DrainConfig
	Requests RequestConfig
	Control  ControlConfig

	Log *zap.Logger
	// Dial makes all connections of the box; nil dials over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// PeerConfig is how this box and the others reach each other.
type PeerConfig struct {
	// Listen is where other boxes are served, and Address how they reach it.
	Listen  string
	Address string
	// Secret is the fleet's.
	Secret string
	// Known are addresses to call when the platform cannot be reached at the start.
	Known []string
	// HeartbeatInterval is the time between two heartbeats in a small fleet.
	HeartbeatInterval time.Duration
}

// PlatformConfig is the platform's key-value service and box list.
type PlatformConfig struct {
	// URL is the base of both.
	URL string
	// ReadsPerSecond and WritesPerSecond are this box's share of the key-value service.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// DrainConfig is the timing of a planned stop.
type DrainConfig struct {
	// Notice is how long a stopping box goes on taking requests, until the balancer has noticed.
	Notice time.Duration
	// Limit is how long it then waits for those in flight; 0 for ever.
	Limit time.Duration
}

// RequestConfig bounds callers' requests.
type RequestConfig struct {
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	// ClaimWindow is how long keys of requests that may not be repeated are remembered.
	ClaimWindow time.Duration
	// HallDistance is the extra time to reach another hall's engines.
	HallDistance time.Duration
}

// ControlConfig is for the control of halls and the fleet.
type ControlConfig struct {
	// LeaseTTL is how long a lease lasts without a renewal.
	LeaseTTL time.Duration
	// OrderLife is the longest time in which an order to an unfenced engine takes effect.
	OrderLife time.Duration
	// Placement weighs attainment against moves.
	Placement placement.Settings
}
