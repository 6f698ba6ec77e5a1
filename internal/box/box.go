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

// Box is one entry box: an assembly of parts, each of which owns its state and its lock. The groups are embedded so
// that the assembly names a part directly.
type Box struct {
	config Config
	log    *zap.Logger
	set    *metrics.Set
	self   *self

	*links
	*knowledge
	*requests

	control *control
	// reporter reports this box's demand.
	reporter *demandReporter
}

// New returns a box that does nothing until Serve.
func New(config Config) *Box {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: dialTime}).DialContext
	}
	b := &Box{
		config: config,
		log:    config.Log.With(zap.String("box", config.ID)),
		set:    metrics.NewSet(),
		self:   newSelf(config.ID, config.Hall, config.Peers.Address),
	}
	b.links = newLinks(config, b.self, b.log, b.set)
	b.knowledge = newKnowledge(config, b.self, b.links, b.log, b.set)
	b.requests = newRequests(config, b.self, b.links, b.knowledge, b.set)
	b.newControl()
	b.handlePeers()
	b.gauges()
	return b
}

// newControl makes the parts that control the hall and the fleet.
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
		hallLease: b.control.hall,
		peers:     b.peers,
		set:       b.set,
	}
}

// handlePeers connects the calls of other boxes to the parts that answer them.
func (b *Box) handlePeers() {
	peer.Handle(b.server, peer.MethodHeartbeat, b.heartbeats.answer)
	peer.Handle(b.server, peer.MethodRecords, b.fetcher.answer)
	peer.Handle(b.server, peer.MethodOutcome, b.claimed.outcomes.answerPeer)
	peer.Handle(b.server, peer.MethodDemand, b.demand.answer)
	peer.Handle(b.server, peer.MethodKeepBurn, b.burn.keep)
	peer.Handle(b.server, peer.MethodBurn, b.burn.answer)
}

// Run listens and serves until ctx ends, then stops without cutting off what is in flight. A port of 0 in the settings
// takes a free one.
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

// Serve serves on listeners that the caller made until ctx ends, then drains. It returns an error only if callers cannot
// be served.
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

	// The loops go on while requests drain, except for the leases and what needs them.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loops := run(background, b.follower.run, b.boxList.run, b.applier.run, b.heartbeats.run, b.reporter.run, b.burn.run)
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

// closeAll ends the connections of a box whose loops have ended.
func (b *Box) closeAll(peerListener net.Listener) {
	_ = peerListener.Close()
	b.close()
	b.log.Info("stopped")
}

// informGrace is how long a starting box waits for a report of its hall's engines.
const informGrace = 10 * time.Second

// Ready reports whether the box should get requests: it knows what is in force, and what its hall's engines hold
// unless no box reported that for informGrace.
func (b *Box) Ready() bool {
	table := b.inForce.current.Load()
	if b.self.draining.Load() || table == nil {
		return false
	}
	return len(table.bundles) == 0 || b.fleet.snapshot.Load().informed || time.Since(b.self.started) > informGrace
}

// gauges registers the values that are read when the metrics page is.
func (b *Box) gauges() {
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
