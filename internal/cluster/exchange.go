package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// CallTimeout bounds one call of another box.
const CallTimeout = 600 * time.Millisecond

// Config holds what an exchange works with: the owners of the data that it exchanges, and settings.
type Config struct {
	// Seeds are the peer addresses to request a first copy of the store from.
	Seeds      []string
	Members    *Members
	Pending    *PendingUpdates
	Client     *peer.Client
	Mirror     *mirror.Mirror
	Directory  *fleet.Directory
	Loads      *dispatch.LoadTracker
	Demand     *residency.Demand
	Controller *residency.Controller
	// Quarantine holds the requests under which upstreams crashed, and CrashParts the parts of prompts.
	Quarantine *quarantine.Register
	CrashParts *quarantine.PartRegister
	// LinkBytesPerSecond is the rate of this box's link; 0 if unknown.
	LinkBytesPerSecond float64
	// ModelUses lists this box's requests in flight by upstream, model and adapter.
	ModelUses func() []residency.ModelUse
	// VersionInForce returns the version of the configuration in force at this box; 0 if there is none. HeldConfig
	// returns that configuration if the store does not have it any more, or else nil. PutInForce puts one in force that
	// another box holds, if it is newer. Without PutInForce, none is taken.
	VersionInForce func() int64
	HeldConfig     func() *HeldConfig
	PutInForce     func(HeldConfig) error
	// Reach, if not nil, holds which halls this box does not reach, and Links whether it reaches any upstream.
	Reach *fleet.Reach
	Links *fleet.Links
	// Leaving reports whether this box is about to stop.
	Leaving func() bool
	// OnLapsed is called with the upstreams whose entries lapsed.
	OnLapsed func([]fleet.Change)
	Log      *zap.Logger
}

// Exchange exchanges load, updates and state with the other boxes.
type Exchange struct {
	Config

	// fetching means that a fetch of newer state is in progress, and fetchingLarge one of large records that this
	// box lacks.
	fetching, fetchingLarge atomic.Bool
	// fetchingConfig means that a fetch of a configuration that another box holds is in progress. badClaims has the
	// boxes whose claim to hold one was logged as wrong.
	fetchingConfig atomic.Bool
	badClaims      sync.Map
	sender         *pieceSender
	pacer          activityPacer
	// crashes and partCrashes report requests and parts of prompts under which upstreams crashed, and urgent when both
	// are reported at once.
	crashes, partCrashes *crashBroadcasts
	urgent               urgentReports
	// leaving selects which leaving upstreams each message lists.
	leaving leavingRotation
	limits  *limitBroadcasts
}

// NewExchange returns an exchange; Run starts it. Registers of crashes that the configuration lacks are made anew.
func NewExchange(config Config) *Exchange {
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewRegister(quarantine.DefaultPolicy)
	}
	if config.CrashParts == nil {
		config.CrashParts = quarantine.NewPartRegister(quarantine.DefaultPartPolicy, "")
	}
	e := &Exchange{
		Config: config, sender: newPieceSender(config.LinkBytesPerSecond, config.Members.isRelayAt), pacer: activityPacer{bytesPerSecond: config.LinkBytesPerSecond},
		limits: newLimitBroadcasts(config.Directory), urgent: newUrgentReports(),
	}
	e.crashes = newCrashBroadcasts(config.Quarantine, e.urgent.signal)
	e.partCrashes = newCrashBroadcasts(config.CrashParts, e.urgent.signal)
	config.Quarantine.OnChanged, config.CrashParts.OnChanged = e.urgent.signal, e.urgent.signal
	return e
}

// Handle registers the methods that other boxes call.
func (e *Exchange) Handle(server *peer.Server) {
	peer.Handle(server, methodExchange, e.answer)
	peer.Handle(server, methodSync, e.answerSync)
	peer.Handle(server, methodPiece, e.answerPiece)
}

// Run exchanges with other boxes until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	go e.bootstrap(ctx)
	go e.sendUrgentCrashes(ctx)
	for {
		e.runRound(ctx)
		if pause.For(ctx, exchangeInterval) != nil {
			return
		}
	}
}

// runRound queues updates, adds up the loads, drops lapsed entries and starts the exchanges that are due.
func (e *Exchange) runRound(ctx context.Context) {
	now := time.Now()
	targets, calls := e.Members.nextCalls(now)
	e.Demand.Note(e.Pending.collect(e.Loads, targets), now)
	e.crashes.collect(targets)
	e.partCrashes.collect(targets)
	e.limits.collect(targets)
	e.applyLoads(now)
	e.Directory.ExpireMarks()
	e.OnLapsed(e.Directory.DropLapsed())
	for _, c := range calls {
		go e.exchangeWith(ctx, c)
	}
}

// exchangeWith sends one box a message and applies its answer.
func (e *Exchange) exchangeWith(ctx context.Context, c call) {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	sent := e.messageTo(c.name, c.scope)
	answer, err := peer.Call[message](callCtx, e.Client, c.address, methodExchange, sent)
	if err != nil {
		e.crashes.requeue(c.name, sent.Crashes)
		e.partCrashes.requeue(c.name, sent.PartCrashes)
		e.limits.requeue(c.name, sent.Limits)
		if e.Members.recordFailure(c) && ctx.Err() == nil {
			e.Log.Info("peer lost", zap.String("peer", c.name), logfield.Error(err))
		}
		return
	}
	if e.Members.recordAnswer(c) {
		e.Log.Info("peer regained", zap.String("peer", c.name))
	}
	e.receive(ctx, answer)
}

// messageTo builds the message for one box under a scope.
func (e *Exchange) messageTo(to string, sent scope) message {
	revision := e.Mirror.State().Revision
	m := message{
		From:        e.Members.self,
		Scope:       sent,
		Leaving:     e.Leaving(),
		StoreLost:   e.Mirror.Lost(),
		LinksLost:   e.Links != nil && e.Links.Lost(),
		StoreAge:    e.Mirror.StoreAge(),
		Staleness:   e.Mirror.Staleness(),
		Revision:    kv.SequenceOf(revision),
		StoreEpoch:  kv.EpochOf(revision),
		NamesEpoch:  true,
		OrderHolder: e.orderHolder(),
		Version:     e.Directory.Version(),
		Crashes:     e.crashes.take(to),
		PartCrashes: e.partCrashes.take(to),
		HeldConfig:  e.heldClaim(),
		LostHalls:   e.lostHalls(),

		LeavingUpstreams: e.leaving.next(to, e.Directory.LeavingByAnswer()),
		Limits:           e.limits.take(to),

		Pieces:      true,
		ReadsBinary: true,
	}
	if err := e.addActivity(to, &m); err != nil {
		e.Log.Error("activity not packed", zap.String("peer", to), logfield.Error(err))
	}
	return m
}

// orderHolder returns the box that holds the order lease, which may be this one; nil if none is known.
func (e *Exchange) orderHolder() *orderHolder {
	if term, err := e.Controller.Term(); err == nil {
		return &orderHolder{Name: e.Members.self.Name, Address: e.Members.self.Address, Term: term}
	}
	return e.Members.reportedHolder()
}

// lostHalls returns the halls that this box reports to others as out of reach. A box that may have lost its own links
// knows nothing of halls.
func (e *Exchange) lostHalls() fleet.HallLosses {
	if e.Reach == nil || e.Links != nil && e.Links.Suspected() {
		return nil
	}
	return e.Reach.Losses()
}

// applyReach applies what a message shows of the reach of halls. Only a box of this one's hall sees the same network.
func (e *Exchange) applyReach(received message) {
	if e.Reach == nil {
		return
	}
	e.Reach.RecordContact(received.From.Hall)
	if received.From.Hall == e.Members.self.Hall {
		e.Reach.ApplyLosses(received.LostHalls)
	}
}

// ownSummary returns the load summary of this box alone.
func (e *Exchange) ownSummary() loadSummary {
	own := loadSummary{Boxes: 1, Loads: e.Loads.Loads(), Uses: e.ModelUses()}
	if e.Mirror.Lost() {
		own.StoreLost = 1
	}
	return own
}
