package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/gateway"
	"ospreymoor.example/ospreymoor/internal/orderlease"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/internal/storeview"
	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// Platform gives access to what the platform keeps in its store.
type Platform = storeview.Platform

// Config holds the settings and dependencies of one box. It has 24 fields because it is the only place for them.
type Config struct {
	// Name identifies this box; it stays the same after a restart.
	Name string
	Hall string
	// Regions maps each hall to its region.
	Regions map[string]string
	// Cores is the processor time that this box may use, in cores.
	Cores float64
	// MemoryBytes is the memory of this process; 0 means unknown.
	MemoryBytes int64
	// LinkBytesPerSecond is the rate of this box's network link; 0 means unknown.
	LinkBytesPerSecond float64
	// PeerAddress is the address at which other boxes call this one, as IP:PORT.
	PeerAddress string
	// Seeds are the peer addresses that are asked for a first copy of the store, which may be unreachable at the
	// start, or too large for each box to read whole.
	Seeds      []string
	PeerSecret string
	Upstreams  gateway.Upstreams
	Platform   Platform
	Retries    gateway.RetryLimits
	// Quotas is how far all boxes together may exceed the limit of a customer.
	Quotas customers.Tolerance
	// ColdStarts is how far all boxes together may exceed the request rate that a cold upstream can take.
	ColdStarts dispatch.ColdTolerance
	// MaxConnections limits the connections of callers; 0 sets no limit.
	MaxConnections int
	// Quarantine is the policy for requests under which upstreams crash.
	Quarantine quarantine.Policy
	// CrashParts is the policy for shared parts of prompts under which upstreams crash.
	CrashParts quarantine.PartPolicy
	// OrderGap is the minimum time between orders of two boxes to one engine.
	OrderGap time.Duration
	// LeaseTTL is how long the order lease lasts without a renewal.
	LeaseTTL time.Duration
	// MoveCost is the least benefit that justifies a load, in squared engine time.
	MoveCost float64
	// Dial opens connections to other boxes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialUpstream opens connections to upstreams for other boxes; nil carries none.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	Log          *zap.Logger
	Metrics      *metrics.Set
}

// Node is one box of the fleet.
type Node struct {
	Gateway *gateway.Gateway

	members      *cluster.Members
	client       *peer.Client
	server       *peer.Server
	view         *storeview.View
	registration *storeview.Registration
	orderLease   *orderlease.Lease
	controller   *residency.Controller
	exchange     *cluster.Exchange
	spender      *customers.Spender
	holdRecorder *storeview.HoldRecorder
	origins      *cluster.Origins
	// originRecorder writes where streams began to the store.
	originRecorder *storeview.OriginRecorder
	tunnels        *cluster.Tunnels

	leaving atomic.Bool
	// orderCtx ends when this box stops competing for the order lease and giving orders.
	orderCtx     context.Context
	stopOrdering context.CancelFunc
	background   sync.WaitGroup
}

// Run takes part in the fleet until ctx ends. Other boxes connect to the listener.
func (n *Node) Run(ctx context.Context, listener net.Listener) {
	context.AfterFunc(ctx, n.stopOrdering)
	go n.server.Serve(listener)
	n.background.Go(func() { n.view.Run(ctx) })
	n.background.Go(func() { n.orderLease.ResignWhenCutOff(ctx) })
	n.background.Go(func() { n.orderLease.Run(n.orderCtx) })
	n.background.Go(func() { n.controller.Run(n.orderCtx) })
	n.background.Go(func() { n.exchange.Run(ctx) })
	n.background.Go(func() { n.registration.Run(ctx) })
	n.background.Go(func() { n.spender.Run(ctx) })
	n.background.Go(func() { n.holdRecorder.Run(ctx) })
	n.background.Go(func() { n.origins.Run(ctx) })
	n.background.Go(func() { n.originRecorder.Run(ctx) })
	n.background.Go(func() { n.Gateway.RunOrigins(ctx) })
	n.background.Go(func() { n.Gateway.RunLinks(ctx) })
	<-ctx.Done()
	n.background.Wait()
	n.server.Close()
	n.client.Close()
}

// Leave gives up the order lease, ahead of a planned stop. From then on the box is not ready.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.stopOrdering()
}

// Ready reports whether this box can serve: it has a configuration, knows upstreams and is not about
// to stop. If customers have limits, it also waits for a bounded time until the store lists this box: before that
// it does not know its share of a limit, and would refuse customers that are within their limits. If the store came back
// from a copy, it waits for a bounded time until other boxes told whether they hold a newer configuration.
func (n *Node) Ready() bool {
	table := n.Gateway.Table()
	if n.leaving.Load() || table == nil || n.Gateway.Directory.Revision() == 0 {
		return false
	}
	if configuredAt := n.view.ConfiguredAt(); n.exchange.AwaitsHeldConfig(kv.EpochOf(n.state().Revision), configuredAt) {
		return false
	}
	return !table.Customers.Limited() || !n.members.AwaitsListing()
}
