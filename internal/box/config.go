package box

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/placement"
)

// Config holds the settings and connections of a box. `ospreymoor serve` fills it from its flags.
type Config struct {
	// ID is the box's name in the platform's box list.
	ID   string
	Hall string
	// Listen is the address on which callers, operators and the box's own pages are served.
	Listen string
	// Operators holds the SHA-256 of each operator's token, in hex, by customer.
	Operators map[string]string

	Peers    PeerConfig
	Platform PlatformConfig
	Drain    DrainConfig
	Requests RequestConfig
	Control  ControlConfig

	Log *zap.Logger
	// Dial makes all connections of the box. Nil means a TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// PeerConfig holds the settings of the calls between this box and the others.
type PeerConfig struct {
	// Listen is the address on which this box serves other boxes. Address is where they reach it.
	Listen  string
	Address string
	// Secret is shared by all boxes of the fleet.
	Secret string
	// Known lists peer addresses to call when the platform cannot be reached at the start.
	Known []string
	// HeartbeatInterval is the time between two heartbeats in a small fleet. In a large one it is longer.
	HeartbeatInterval time.Duration
}

// PlatformConfig holds the settings of the calls to the platform's key-value service and box list.
type PlatformConfig struct {
	// URL is the base URL of both.
	URL string
	// ReadsPerSecond and WritesPerSecond are this box's share of the key-value service's capacity.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// DrainConfig holds the timing of a planned stop.
type DrainConfig struct {
	// Notice is how long a stopping box goes on taking requests, so that the balancer has time to notice.
	Notice time.Duration
	// Limit is how long it then waits for the requests in flight. 0 means no limit.
	Limit time.Duration
}

// RequestConfig bounds callers' requests.
type RequestConfig struct {
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	// ClaimWindow is how long the keys of requests that may not be repeated are remembered.
	ClaimWindow time.Duration
	// HallDistance is the extra latency to the engines of another hall.
	HallDistance time.Duration
}

// ControlConfig holds the settings for the control of halls and of the fleet.
type ControlConfig struct {
	// LeaseTTL is how long a lease lasts without a renewal.
	LeaseTTL time.Duration
	// OrderLife is the longest time after which an order to an unfenced engine can still take effect.
	OrderLife time.Duration
	// Placement holds the planner's settings, among them how much a move must gain.
	Placement placement.Settings
}
