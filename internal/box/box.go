// Package box wires one entry box together: its listeners, what it knows of the fleet,
// the requests it serves and the control it takes part in.
package box

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/engine"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/burn"
	"ospreymoor.example/ospreymoor/pkg/claims"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/placement"
	"ospreymoor.example/ospreymoor/pkg/records"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// Config is all that a box is told from outside.
type Config struct {
	// ID is the box's name in the platform's box list.
	ID   string
	Hall string
	// Listen is where callers, operators and pages are served.
	Listen string
	// PeerListen is where other boxes are served, and PeerAddress how they reach it.
	PeerListen  string
	PeerAddress string
	PeerSecret  string
	// Peers are addresses to ask when the platform can't be reached at the start.
	Peers []string
	// PlatformURL is the base of the key-value service and the box list.
	PlatformURL string
	// Operators holds the SHA-256 of each operator's token, in hex, by customer.
	Operators map[string]string
	// DrainNotice is how long a stopping box goes on taking requests, until the balancer
	// has noticed; DrainLimit is how long it then waits for those in flight, 0 for ever.
	DrainNotice time.Duration
	DrainLimit  time.Duration
	// Reads and Writes are the box's share of the key-value service, a second.
	Reads  float64
	Writes float64
	// ClaimWindow is how long keys of requests that may not be repeated are remembered.
	ClaimWindow time.Duration
	// LeaseTTL is how long a lease lasts without a renewal.
	LeaseTTL time.Duration
	// OrderLife is the longest time in which an order to an unfenced engine takes effect.
	OrderLife time.Duration
	// HallDistance is the extra time to reach another hall's engines.
	HallDistance time.Duration
	// BeatInterval is the time between two heartbeats in a small fleet.
	BeatInterval time.Duration
	// Placement weighs attainment against moves.
	Placement placement.Settings
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	Log     *zap.Logger
	// Dial makes all connections of the box; nil dials over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Box is one entry box.
type Box struct {
	config  Config
	log     *zap.Logger
	set     *metrics.Set
	self    *self
	members *members

	store     kv.Store
	registry  *bundle.Registry
	claimed   *claimedRuns
	cache     *records.Cache
	view      *membership.View
	router    *routing.Router
	models    *modelServer
	services  *serviceProxy
	counters  *requestCounters
	admission *admission.Controller
	burn      *burn.Recorder
	keeper    *burn.Keeper
	demand    *demand
	peers     *peer.Client
	server    *peer.Server
	engines   *engineClients
	platform  *http.Client

	inForce *bundlesInForce
	fleet   *fleetState
	weights *weightTable
	reader  *recordReader
	fetcher *recordFetcher
	control *control
	// beatNow wakes the heartbeats, and recordNews the one that takes records in.
	beatNow    chan struct{}
	recordNews chan struct{}
	fetching   sync.Map
}

// New returns a box that does nothing until Serve.
func New(config Config) *Box {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: dialTime}).DialContext
	}
	b := &Box{
		config:     config,
		log:        config.Log.With(zap.String("box", config.ID)),
		set:        metrics.NewSet(),
		self:       newSelf(config.ID, config.Hall, config.PeerAddress),
		cache:      records.NewCache(),
		view:       membership.NewView(config.ID),
		router:     routing.New(routing.Config{}),
		keeper:     burn.NewKeeper(),
		beatNow:    make(chan struct{}, 1),
		recordNews: make(chan struct{}, 1),
		platform:   &http.Client{Transport: plainTransport(config.Dial)},
	}
	b.members = &members{self: b.self, view: b.view}
	b.reader = newRecordReader(b.cache, b.log)
	b.fleet = newFleetState(fleetConfig{self: b.self, hallDistance: config.HallDistance, reader: b.reader, view: b.view, router: b.router})
	b.burn = burn.NewRecorder(config.ID, b.self.incarnation)
	b.store = b.watched(kv.WithBudget(
		kv.NewEtcd(kv.EtcdConfig{URL: config.PlatformURL, Client: b.platform}),
		kv.Budget{ReadsPerSecond: config.Reads, WritesPerSecond: config.Writes, Set: b.set},
	))
	b.registry = &bundle.Registry{Store: b.store, Fits: func(current, next []*bundle.Bundle) error {
		return b.fleet.fits(current, next, config.Placement)
	}}
	b.admission = admission.New(b.view.FleetSize)
	b.demand = newDemand()
	b.peers = peer.NewClient(config.PeerSecret, config.Dial, b.set)
	b.server = peer.NewServer(config.PeerSecret, b.set)
	b.engines = newEngineClients(engine.NewHTTPClient(config.Dial))
	b.fetcher = &recordFetcher{peers: b.peers, cache: b.cache}
	b.inForce = &bundlesInForce{self: b.self, log: b.log, cache: b.cache, store: b.store, view: b.view, fetcher: b.fetcher}
	b.cache.Subscribe(func(records.Record) { wake(b.recordNews) })
	b.newRequestPaths()
	b.control = newControl(b)
	b.handlePeers()
	b.gauges()
	return b
}

// newRequestPaths makes the parts that serve callers.
func (b *Box) newRequestPaths() {
	retries := routing.NewRetryBudget(retryShare)
	b.counters = &requestCounters{burn: b.burn, set: b.set}
	b.claimed = &claimedRuns{
		self:     b.self,
		claims:   claims.New(claims.Config{Store: b.store, Window: b.config.ClaimWindow}),
		outcomes: newOutcomes(),
		peers:    b.peers,
		set:      b.set,
	}
	b.models = &modelServer{
		inForce:   b.inForce,
		fleet:     b.fleet,
		router:    b.router,
		weights:   newWeightTable(),
		demand:    b.demand,
		admission: b.admission,
		retries:   retries,
		runs: &engineRuns{
			fleet:         b.fleet,
			view:          b.view,
			router:        b.router,
			engines:       b.engines,
			set:           b.set,
			heartbeatSoon: b.beatNow,
		},
		claimed:  b.claimed,
		counters: b.counters,
	}
	b.services = &serviceProxy{
		inForce:    b.inForce,
		fleet:      b.fleet,
		router:     b.router,
		admission:  b.admission,
		retries:    retries,
		claimed:    b.claimed,
		counters:   b.counters,
		repeatable: &http.Client{Transport: plainTransport(b.config.Dial), CheckRedirect: noRedirect},
		once:       &http.Client{Transport: onceTransport(b.config.Dial), CheckRedirect: noRedirect},
		maxBody:    b.config.MaxBody,
	}
}

// Run listens and serves until ctx ends, then stops without cutting off what is in flight.
// A port of 0 in the settings takes a free one.
func Run(ctx context.Context, config Config) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Annotatef(err, "listening for callers: choose another --listen")
	}
	peerListener, err := net.Listen("tcp", config.PeerListen)
	if err != nil {
		_ = listener.Close()
		return errors.Annotatef(err, "listening for peers: choose another --peer-listen")
	}
	if config.PeerAddress == config.PeerListen {
		config.PeerAddress = peerListener.Addr().String()
	}
	return New(config).Serve(ctx, listener, peerListener)
}

// Serve serves on listeners that the caller made until ctx ends, then drains.
func (b *Box) Serve(ctx context.Context, listener, peerListener net.Listener) error {
	go b.server.Serve(peerListener)
	server := newServer(withBodyDeadline(b.handler()))
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	b.log.Info("serving",
		zap.String("listen", listener.Addr().String()),
		zap.String("peer", peerListener.Addr().String()),
		zap.String("hall", b.config.Hall))

	// Control goes on while requests drain, except for the leases.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	loops := b.start(background)
	controlled, handOver := context.WithCancel(background)
	leases := b.control.start(controlled)

	select {
	case err := <-failed:
		handOver()
		stop()
		return errors.Trace(err)
	case <-ctx.Done():
	}
	b.drain(server, func() {
		handOver()
		leases.Wait()
	})
	stop()
	loops.Wait()
	_ = peerListener.Close()
	b.server.Close()
	b.peers.Close()
	for _, client := range []*http.Client{b.platform, b.services.repeatable, b.services.once, b.engines.http} {
		client.CloseIdleConnections()
	}
	b.log.Info("stopped")
	return nil
}

// start runs the loops that keep the box informed.
func (b *Box) start(ctx context.Context) *sync.WaitGroup {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){
		b.followStore, b.followBoxes, b.applyRecords, b.beat, b.measureDemand, b.keepBurn,
	} {
		loops.Add(1)
		go func() {
			defer loops.Done()
			loop(ctx)
		}()
	}
	return &loops
}

// informGrace is how long a starting box waits for word of its hall's engines.
const informGrace = 10 * time.Second

// Ready tells whether the box should get requests: it knows what is in force, and what its
// hall's engines hold unless nobody could tell for a while.
func (b *Box) Ready() bool {
	f := b.inForce.current.Load()
	if b.self.draining.Load() || f == nil {
		return false
	}
	return len(f.bundles) == 0 || b.fleet.snapshot.Load().informed || time.Since(b.self.started) > informGrace
}

// Metrics is the box's set of metrics.
func (b *Box) Metrics() *metrics.Set { return b.set }

func (b *Box) gauges() {
	b.set.NewGauge("ospreymoor_in_flight", func() float64 { return float64(b.admission.InFlight()) })
	b.set.NewGauge("ospreymoor_in_force_generation", func() float64 {
		if f := b.inForce.current.Load(); f != nil {
			return float64(f.generation)
		}
		return 0
	})
	b.set.NewGauge("ospreymoor_plan_number", func() float64 { return float64(b.fleet.snapshot.Load().plan.Number) })
	b.set.NewGauge("ospreymoor_peers_live", func() float64 { return float64(len(b.view.Live())) })
	b.set.NewGauge("ospreymoor_store_reachable", func() float64 {
		if b.self.storeReachable.Load() {
			return 1
		}
		return 0
	})
}

// watched notes whether the key-value service answers.
func (b *Box) watched(store kv.Store) kv.Store {
	return kv.Observed(store, func(err error) {
		down := errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrUnknown)
		if b.self.storeReachable.Swap(!down) == down {
			b.log.Info("key-value service", zap.Bool("reachable", !down))
		}
	})
}
