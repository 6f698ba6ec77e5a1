package gateway

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/lease"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Config is all that one machine needs.
type Config struct {
	// Name of this machine, the same after a restart.
	Name string
	Zone string
	// PeerAddress is where other machines call this one, IP:PORT.
	PeerAddress string
	// Seeds are peer addresses to ask when the store is away at the start.
	Seeds      []string
	PeerSecret string
	Backends   Backends
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
	cluster    *cluster
	controller *residency.Controller
	lease      *lease.Lease
	turn       *turnGuard
	backends   *mirror.Mirror
	tables     *mirror.Mirror
	nodes      *mirror.Mirror
	server     *peer.Server
	leaving    atomic.Bool
	// stopOrders ends the lease's contest.
	stopOrders context.CancelFunc
	background sync.WaitGroup
}

// NewNode puts a machine together; Run starts it.
func NewNode(config Config) *Node {
	n := &Node{config: config}
	directory := fleet.New()
	book := dispatch.NewBook()
	demand := &residency.Demand{}
	boxes := newOutboxes()
	n.Gateway = &Gateway{
		Directory: directory,
		Book:      book,
		Chooser:   &dispatch.Chooser{Book: book, Zone: config.Zone},
		Backends:  config.Backends,
		Note:      boxes.note,
		uses:      adapterUses{running: map[residency.Use]int{}},
		Log:       config.Log,
		Set:       config.Set,
	}
	n.makeMirrors()
	n.makeController(demand)
	n.cluster = &cluster{
		self:       node{Name: config.Name, Zone: config.Zone, Address: config.PeerAddress, Incarnation: uuid.NewString()},
		seeds:      config.Seeds,
		client:     peer.NewClient(config.PeerSecret, config.Dial, config.Set),
		gateway:    n.Gateway,
		controller: n.controller,
		demand:     demand,
		config:     n.tables,
		backends:   n.backends,
		boxes:      boxes,
		log:        config.Log,
		leaving:    n.leaving.Load,
		nodes:      map[string]*member{},

		behindSince: map[*mirror.Mirror]time.Time{},
		most:        1,
	}
	n.Gateway.Ensure = n.cluster.ensure
	n.Gateway.budget = newRepeatBudget(config.Retries, n.cluster.machines)
	n.nodes.Changed = n.cluster.setNodes
	n.server = peer.NewServer(config.PeerSecret, config.Set)
	peer.Handle(n.server, methodExchange, n.cluster.answerExchange)
	peer.Handle(n.server, methodCopies, n.cluster.answerCopies)
	peer.Handle(n.server, methodEnsure, n.cluster.answerEnsure)
	return n
}

func (n *Node) makeMirrors() {
	platform := n.config.Platform
	reached := func(prefix string) func(error) {
		return func(err error) {
			if err != nil {
				n.config.Log.Warn("store lost", zap.String("prefix", prefix), zap.Error(err))
			} else {
				n.config.Log.Info("store regained", zap.String("prefix", prefix))
			}
		}
	}
	n.tables = &mirror.Mirror{Store: platform.Store, Prefix: platform.ConfigPrefix, Changed: n.takeTable, Reached: reached(platform.ConfigPrefix)}
	n.backends = &mirror.Mirror{Store: platform.Store, Prefix: platform.BackendPrefix, Changed: n.takeBackends, Quiet: n.listQuiet, Reached: reached(platform.BackendPrefix)}
	n.nodes = &mirror.Mirror{Store: platform.Store, Prefix: platform.NodePrefix}
}

const (
	// holderQuiet and peerQuiet are how long the list of back ends may lag: on the machine that
	// gives orders, which waits for their ends, and on the others, which it tells of them.
	holderQuiet = 150 * time.Millisecond
	peerQuiet   = 900 * time.Millisecond
)

func (n *Node) listQuiet() time.Duration {
	if _, err := n.lease.Term(); err == nil {
		return holderQuiet
	}
	return peerQuiet
}

func (n *Node) makeController(demand *residency.Demand) {
	n.turn = &turnGuard{
		store:  n.config.Platform.Store,
		key:    n.config.Platform.LeasePrefix + "last-order-holder",
		holder: n.config.Name,
		wait:   n.config.TurnTime,
		log:    n.config.Log,
	}
	n.lease = lease.New(lease.Config{
		Store:   n.config.Platform.Store,
		Key:     n.config.Platform.LeasePrefix + "orders",
		Holder:  n.config.Name,
		TTL:     n.config.LeaseTTL,
		Reclaim: true,
		Changed: n.turn.changed,
	})
	n.controller = &residency.Controller{
		Holder:    n.config.Name,
		Directory: n.Gateway.Directory,
		Table:     n.Gateway.Table,
		Engines:   n.config.Backends.Engines,
		Term:      n.orderTerm,
		Running:   func(backend string) int { return n.Gateway.Book.Total(backend).Running },
		Demand:    demand,
		MoveCost:  n.config.MoveCost,
		Log:       n.config.Log,
	}
}

// orderTerm returns the term under which this machine may give orders at this moment.
func (n *Node) orderTerm() (int64, error) {
	term, err := n.lease.Term()
	if err != nil {
		return 0, errors.WithType(err, residency.ErrNotHolder)
	}
	if !n.turn.passed(term) {
		return 0, residency.ErrWaiting
	}
	return term, nil
}

// takeTable puts a configuration in force.
func (n *Node) takeTable(records mirror.Copy) {
	table, err := n.config.Platform.Table(records.Records)
	if err != nil {
		n.config.Log.Error("configuration not understood", zap.Int64("revision", records.Revision), zap.Error(err))
		return
	}
	if table == nil {
		return
	}
	if n.Gateway.SetTable(table) {
		n.config.Log.Info("configuration in force",
			zap.Int64("version", table.Version),
			zap.Int64("revision", records.Revision),
			zap.Int("routes", len(table.Routes)))
	}
}

// takeBackends takes a list of back ends.
func (n *Node) takeBackends(records mirror.Copy) {
	list := make([]fleet.Backend, 0, len(records.Records))
	for _, record := range records.Records {
		backend, err := n.config.Platform.Backend(record)
		if err != nil {
			n.config.Log.Warn("back end not understood", zap.String("key", record.Key), zap.Error(err))
			continue
		}
		list = append(list, backend)
	}
	for _, change := range n.Gateway.Directory.SetList(records.Revision, list) {
		n.config.Log.Info("back end "+string(change.What),
			zap.String("backend", change.Backend.ID),
			zap.String("service", change.Backend.Service),
			zap.String("address", change.Backend.Address),
			zap.Duration("notice", change.Backend.Remaining),
			zap.Int64("revision", change.Backend.Revision))
		if change.What == fleet.Removed {
			n.config.Backends.Forget(change.Backend.ID)
			n.Gateway.Book.Forget(change.Backend.ID)
		}
	}
}

// Run takes part in the system until ctx ends; peers call the listener.
func (n *Node) Run(ctx context.Context, listener net.Listener) {
	orders, stopOrders := context.WithCancel(ctx)
	n.stopOrders = stopOrders
	go n.server.Serve(listener)
	n.start(func() { n.tables.Run(ctx) })
	n.start(func() { n.backends.Run(ctx) })
	n.start(func() { n.nodes.Run(ctx) })
	n.start(func() { n.lease.Run(orders) })
	n.start(func() { n.controller.Run(orders) })
	n.start(func() { n.cluster.run(ctx) })
	registration := &registration{
		store: n.config.Platform.Store,
		key:   n.config.Platform.NodePrefix + n.config.Name,
		node:  n.cluster.self,
		log:   n.config.Log,
	}
	n.start(func() { registration.run(ctx) })
	<-ctx.Done()
	n.background.Wait()
	n.server.Close()
	n.cluster.client.Close()
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

// Table returns the configuration in force, or nil.
func (n *Node) Table() *routes.Table { return n.Gateway.Table() }

// turnGuard keeps a new holder of the order lease from ordering before the orders of another
// machine are surely over.
type turnGuard struct {
	store  kv.Store
	key    string
	holder string
	wait   time.Duration
	log    *zap.Logger

	mu   sync.Mutex
	term int64
	// open tells that orders may be given under term.
	open bool
}

// lastHolder is what the store keeps of the machine that last gave orders.
type lastHolder struct {
	Name string `json:"name"`
}

// changed is called when the lease is gained (term above 0) or lost.
func (g *turnGuard) changed(term int64) {
	g.mu.Lock()
	g.term, g.open = term, false
	g.mu.Unlock()
	g.log.Info("order lease", zap.Int64("term", term))
	if term != 0 {
		go g.settle(term, time.Now())
	}
}

// turnRetry is the pause after a failure of the store.
const turnRetry = 200 * time.Millisecond

// settle finds out who gave orders last, waits for that machine's time to be over, and only
// then notes that this machine does now: one that is killed while it waits waits again.
func (g *turnGuard) settle(term int64, gained time.Time) {
	for g.current(term) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		wait, err := g.claim(ctx, gained)
		cancel()
		switch {
		case err != nil:
			time.Sleep(turnRetry)
		case wait > 0:
			time.Sleep(wait)
		default:
			g.begin(term)
			return
		}
	}
}

func (g *turnGuard) current(term int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term == term
}

// claim returns how long to wait yet, and writes this machine's name when the wait is over.
func (g *turnGuard) claim(ctx context.Context, gained time.Time) (time.Duration, error) {
	record, err := g.store.Get(ctx, g.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return 0, err
	}
	var last lastHolder
	if err == nil && json.Unmarshal(record.Value, &last) == nil && last.Name == g.holder {
		return 0, nil
	}
	if wait := g.wait - time.Since(gained); wait > 0 {
		return wait, nil
	}
	value, err := json.Marshal(lastHolder{Name: g.holder})
	if err != nil {
		return 0, errors.Trace(err)
	}
	_, err = g.store.Swap(ctx, kv.Swap{Key: g.key, Revision: record.Revision, Value: value})
	return 0, err
}

// begin opens the way for orders under a term.
func (g *turnGuard) begin(term int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = g.term == term
	g.log.Info("orders may begin", zap.Int64("term", term), zap.Bool("current", g.open))
}

func (g *turnGuard) passed(term int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term == term && g.open
}
