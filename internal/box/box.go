package box

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/logfield"

	"ospreymoor.example/ospreymoor/internal/peer"
)

// Box is one entry box. It assembles parts, each of which owns its state and its lock. The groups of parts are
// embedded so that a part can be named directly.
type Box struct {
	config Config
	log    *zap.Logger
	set    *metrics.Set
	self   *self

	*connections
	*knowledge
	*requests

	control *control
	// reporter reports this box's demand.
	reporter *demandReporter
}

// New returns a box that does nothing until Serve is called.
func New(config Config) *Box {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	b := &Box{
		config: config,
		log:    config.Log.With(zap.String("box", config.ID)),
		set:    metrics.NewSet(),
		self:   newSelf(config.ID, config.Hall, config.Peers.Address),
	}
	b.connections = newConnections(config, b.self, b.log, b.set)
	b.knowledge = newKnowledge(config, b.self, b.connections, b.log, b.set)
	b.requests = newRequests(config, b.self, b.connections, b.knowledge, b.set)
	b.newControl()
	b.registerPeerHandlers()
	b.registerGauges()
	return b
}

// newControl makes the parts that take part in the control of the hall and the fleet.
func (b *Box) newControl() {
	b.control = newControl(controlParts{
		config:   b.config.Control,
		self:     b.self,
		members:  b.members,
		engines:  b.engines,
		fleet:    b.fleet,
		inForce:  b.inForce,
		demand:   b.demand,
		claimed:  b.claimed,
		store:    b.store,
		follower: b.follower,
		log:      b.log,
		set:      b.set,
	})
	b.reporter = &demandReporter{
		self:      b.self,
		members:   b.members,
		demand:    b.demand,
		reader:    b.reader,
		fleet:     b.fleet,
		hallLease: b.control.hallLease,
		peers:     b.peers,
		set:       b.set,
	}
}

// registerPeerHandlers registers the handlers of the calls that other boxes make.
func (b *Box) registerPeerHandlers() {
	peer.Handle(b.server, peer.MethodHeartbeat, b.heartbeats.handleHeartbeat)
	peer.Handle(b.server, peer.MethodRecords, b.fetcher.handleRecords)
	peer.Handle(b.server, peer.MethodOutcome, b.claimed.outcomes.handleOutcome)
	peer.Handle(b.server, peer.MethodDemand, b.demand.handleDemand)
	peer.Handle(b.server, peer.MethodKeepBurn, b.burn.handleKeepBurn)
	peer.Handle(b.server, peer.MethodBurn, b.burn.handleBurn)
}

// Run listens and serves until ctx ends, then drains and stops. Port 0 in the settings picks a free port.
func Run(ctx context.Context, config Config) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Annotatef(err, "listening for callers: choose another --listen")
	}
	peerListener, err := net.Listen("tcp", config.Peers.Listen)
	if err != nil {
		_ = listener.Close()
		return errors.Annotatef(err, "listening for peers: choose another --peer-listen")
	}
	if config.Peers.Address == config.Peers.Listen {
		config.Peers.Address = peerListener.Addr().String()
	}
	return New(config).Serve(ctx, listener, peerListener)
}

// Serve serves on the listeners given until ctx ends, then drains. It returns an error only if the server for callers
// fails.
func (b *Box) Serve(ctx context.Context, listener, peerListener net.Listener) error {
	b.server.OnAcceptError = func(err error) { b.log.Warn("connection of another box not accepted", logfield.Error(err)) }
	go b.server.Serve(peerListener)
	server := newServer(withBodyDeadline(b.handler()))
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	b.log.Info("serving",
		zap.String("listen", listener.Addr().String()),
		zap.String("peer", peerListener.Addr().String()),
		zap.String("hall", b.config.Hall))

	// The loops go on while requests drain. The leases, the controller and the planner stop before that.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loops := startLoops(background, b.follower.run, b.boxList.run, b.applier.run, b.heartbeats.run, b.reporter.run, b.burn.run)
	controlled, handOver := context.WithCancel(background)
	defer handOver()
	leases := b.control.start(controlled)

	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	b.drain(server, func() {
		handOver()
		leases.Wait()
	})
	stop()
	loops.Wait()
	b.closeAll(peerListener)
	return nil
}

// closeAll closes the connections of a box whose loops have ended.
func (b *Box) closeAll(peerListener net.Listener) {
	_ = peerListener.Close()
	b.close()
	b.log.Info("stopped")
}

// engineReportTimeout is how long a starting box waits for a report on its hall's engines before it becomes ready
// without one.
const engineReportTimeout = 10 * time.Second

// Ready reports whether the box should get requests. It must know the bundles in force. If there are any, it must
// also have the box list, the plan and the holdings of its hall, or have waited engineReportTimeout for them.
func (b *Box) Ready() bool {
	table := b.inForce.current.Load()
	if b.self.draining.Load() || table == nil {
		return false
	}
	return len(table.bundles) == 0 || b.fleet.snapshot.Load().complete || time.Since(b.self.started) > engineReportTimeout
}

// registerGauges registers the gauges, whose values are read when the metrics are scraped.
func (b *Box) registerGauges() {
	b.set.NewGauge("ospreymoor_in_flight", func() float64 { return float64(b.admission.InFlight()) })
	b.set.NewGauge("ospreymoor_in_force_generation", func() float64 {
		if table := b.inForce.current.Load(); table != nil {
			return float64(table.generation)
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
