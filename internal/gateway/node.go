package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/orderlease"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// Config is all that one machine needs.
type Config struct {
	// Name of this machine, the same after a restart.
	Name string
	Hall string
	// Cores is the processor time that this machine may use, in cores.
	Cores float64
	// PeerAddress is where other machines call this one, IP:PORT.
	PeerAddress string
	// Seeds are peer addresses to ask when the store is away at the start.
	Seeds      []string
	PeerSecret string
	Upstreams  Upstreams
	Platform   Platform
	Retries    RetryLimits
	// TurnTime is how long orders of two machines to one engine must be apart.
	TurnTime time.Duration
	// LeaseTTL is how long the order lease lasts without a renewal.
	LeaseTTL time.Duration
	// MoveCost is what a load must gain at least, in squared engine time.
	MoveCost float64
	// Dial makes connections to other machines.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *zap.Logger
	Set  *metrics.Set
}

// Node is one machine of the system.
type Node struct {
	Gateway *Gateway

	config     Config
	members    *cluster.Members
	exchange   *cluster.Exchange
	client     *peer.Client
	controller *residency.Controller
	self       cluster.Box
	orders     *orderlease.Lease
	// mirror is the copy of all that the store holds.
	mirror *mirror.Mirror
	view   storeView
	// restSpread is this machine's part of restSpread.
	restSpread time.Duration
	server     *peer.Server
	leaving    atomic.Bool
	// stopOrders ends the lease's contest.
	stopOrders context.CancelFunc
	background sync.WaitGroup
}

// NewNode puts a machine together; Run starts it.
func NewNode(config Config) *Node {
	n := &Node{config: config, restSpread: rand.N(restSpread)}
	directory := fleet.New()
	book := dispatch.NewLoadTracker()
	demand := &residency.Demand{}
	pending := cluster.NewPendingUpdates()
	self := cluster.Box{Name: config.Name, Hall: config.Hall, Address: config.PeerAddress, Incarnation: uuid.NewString(), Cores: config.Cores}
	n.self = self
	n.members = cluster.NewMembers(self, n.storeLost)
	n.client = peer.NewClient(config.PeerSecret, config.Dial, config.Set)
	n.Gateway = &Gateway{
		Directory: directory,
		Loads:     book,
		Chooser:   &dispatch.Chooser{Loads: book, Hall: config.Hall},
		Upstreams: config.Upstreams,
		Note:      pending.NoteWork,
		uses:      adapterUses{running: map[residency.AdapterUse]int{}},
		Log:       config.Log,
		Set:       config.Set,
	}
	n.makeMirror()
	n.makeController(demand)
	n.exchange = cluster.NewExchange(cluster.Config{
		Seeds:       config.Seeds,
		Members:     n.members,
		Pending:     pending,
		Client:      n.client,
		Mirror:      n.mirror,
		Directory:   directory,
		Loads:       book,
		Demand:      demand,
		Controller:  n.controller,
		AdapterUses: n.Gateway.uses.list,
		Leaving:     n.leaving.Load,
		Dropped:     n.view.tellAll,
		Log:         config.Log,
	})
	ensurer := &cluster.Ensurer{Members: n.members, Client: n.client, Controller: n.controller}
	n.Gateway.Ensure = ensurer.Ensure
	n.Gateway.budget = newRepeatBudget(config.Retries, n.members.Boxes)
	n.server = peer.NewServer(config.PeerSecret, config.Set)
	n.exchange.Handle(n.server)
	ensurer.Handle(n.server)
	n.orders.Handle(n.server, n.controller.LastOrders)
	return n
}

func (n *Node) makeMirror() {
	n.view = storeView{platform: n.config.Platform, node: n, decoded: map[string]fleet.Upstream{}}
	n.mirror = &mirror.Mirror{
		Store:       n.config.Platform.Store,
		OnChange:    n.view.take,
		BatchDelay:  n.watchQuiet,
		PollTimeout: n.watchIdle,
		Paused:      n.watchResting,
		OnConnectivity: func(err error) {
			if err != nil {
				n.config.Log.Warn("store lost", logfield.Error(err))
			} else {
				n.config.Log.Info("store regained")
			}
		},
	}
}

func (n *Node) makeController(demand *residency.Demand) {
	n.orders = orderlease.New(orderlease.Config{
		Name:      n.config.Name,
		Store:     n.config.Platform.Store,
		OwnPrefix: n.config.Platform.OwnPrefix,
		TTL:       n.config.LeaseTTL,
		OrderGap:  n.config.TurnTime,
		Peers: orderlease.Peers{
			AddressOf:      n.members.AddressOf,
			ReachesStore:   n.members.ReachesStore,
			StoreLostByAll: n.members.StoreLostByAll,
			FollowsRelay:   n.members.FollowsRelay,
		},
		Client:  n.client,
		State:   n.mirror.State,
		Leaving: n.leaving.Load,
		Log:     n.config.Log,
	})
	n.controller = residency.New(residency.Config{
		Holder:       n.config.Name,
		Directory:    n.Gateway.Directory,
		Table:        n.Gateway.Table,
		Engines:      n.config.Upstreams.Engines,
		Term:         n.orders.Term,
		NotBefore:    n.orders.NotBefore,
		Running:      func(backend string) int { return n.Gateway.Loads.Total(backend).Running },
		Unresponsive: n.Gateway.Loads.Unresponsive,
		Demand:       demand,
		MoveCost:     n.config.MoveCost,
		Log:          n.config.Log,
	})
}

// storeLost tells whether this machine could not reach the store at its last tries.
func (n *Node) storeLost() bool { return n.mirror.Lost() }

// Run takes part in the system until ctx ends; peers call the listener.
func (n *Node) Run(ctx context.Context, listener net.Listener) {
	orders, stopOrders := context.WithCancel(ctx)
	n.stopOrders = stopOrders
	go n.server.Serve(listener)
	n.start(func() { n.mirror.Run(ctx) })
	n.start(func() { n.orders.ResignWhenCutOff(ctx) })
	n.start(func() { n.orders.Run(orders) })
	n.start(func() { n.controller.Run(orders) })
	n.start(func() { n.exchange.Run(ctx) })
	registration := &registration{
		store: n.config.Platform.Store,
		key:   n.config.Platform.OwnPrefix + nodePart + n.config.Name,
		node:  n.self,
		log:   n.config.Log,
	}
	n.start(func() { registration.run(ctx) })
	<-ctx.Done()
	n.background.Wait()
	n.server.Close()
	n.client.Close()
}

func (n *Node) start(work func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		work()
	}()
}

// Leave hands the order lease over, ahead of a planned stop.
func (n *Node) Leave() {
	n.leaving.Store(true)
	if n.stopOrders != nil {
		n.stopOrders()
	}
}

// Ready tells whether this machine can serve: it has a configuration and knows back ends.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.Gateway.Table() != nil && n.Gateway.Directory.Revision() > 0
}
