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
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// Platform is the port to what the platform keeps in its store.
type Platform = storeview.Platform

// Config is all that one box needs. It has 21 fields because it is the one place of all settings.
type Config struct {
	// Name of this box, the same after a restart.
	Name string
	Hall string
	// Regions are those of all halls, by hall.
	Regions map[string]string
	// Cores is the processor time that this box may use, in cores.
	Cores float64
	// MemoryBytes is this process's memory; 0 if it is not known.
	MemoryBytes int64
	// LinkBytesPerSecond is the rate of this box's link; 0 if it is not known.
	LinkBytesPerSecond float64
	// PeerAddress is where other boxes call this one, IP:PORT.
	PeerAddress string
	// Seeds are peer addresses to ask when the store is away at the start.
	Seeds      []string
	PeerSecret string
	Upstreams  gateway.Upstreams
	Platform   Platform
	Retries    gateway.RetryLimits
	// Quotas is by how much what all boxes spend for a customer may exceed its limit.
	Quotas customers.Tolerance
	// ColdStarts is by how much what all boxes send a cold upstream may exceed what it bears.
	ColdStarts dispatch.ColdTolerance
	// Quarantine is the rule on requests under which upstreams crash.
	Quarantine quarantine.Policy
	// OrderGap is how long orders of two boxes to one engine must be apart.
	OrderGap time.Duration
	// LeaseTTL is how long the order lease lasts without a renewal.
	LeaseTTL time.Duration
	// MoveCost is what a load must gain at least, in squared engine time.
	MoveCost float64
	// Dial makes connections to other boxes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *zap.Logger
	Set  *metrics.Set
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
	holds        *storeview.HoldRecorder

	leaving atomic.Bool
	// ordering bounds this box's part in the contest for the order lease, and its orders.
	ordering     context.Context
	stopOrdering context.CancelFunc
	background   sync.WaitGroup
}

// Run takes part in the fleet until ctx ends; other boxes call the listener.
func (n *Node) Run(ctx context.Context, listener net.Listener) {
	context.AfterFunc(ctx, n.stopOrdering)
	go n.server.Serve(listener)
	n.background.Go(func() { n.view.Run(ctx) })
	n.background.Go(func() { n.orderLease.ResignWhenCutOff(ctx) })
	n.background.Go(func() { n.orderLease.Run(n.ordering) })
	n.background.Go(func() { n.controller.Run(n.ordering) })
	n.background.Go(func() { n.exchange.Run(ctx) })
	n.background.Go(func() { n.registration.Run(ctx) })
	n.background.Go(func() { n.spender.Run(ctx) })
	n.background.Go(func() { n.holds.Run(ctx) })
	<-ctx.Done()
	n.background.Wait()
	n.server.Close()
	n.client.Close()
}

// Leave hands the order lease over, ahead of a planned stop.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.stopOrdering()
}

// Ready reports whether this box can serve: it has a configuration, knows upstreams and is not about
// to stop. Where customers have limits, it is listed by the store too, or was not in time: until then it
// does not know its part of a limit, and refuses customers within theirs.
func (n *Node) Ready() bool {
	table := n.Gateway.Table()
	if n.leaving.Load() || table == nil || n.Gateway.Directory.Revision() == 0 {
		return false
	}
	return !table.Customers.Limited() || !n.members.AwaitsListing()
}
