package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/gateway"
	"ospreymoor.example/ospreymoor/internal/orderlease"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/internal/storeview"
	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// shared holds the state that several components use.
type shared struct {
	directory *fleet.Directory
	loads     *dispatch.LoadTracker
	demand    *residency.Demand
	pending   *cluster.PendingUpdates
	members   *cluster.Members
	// quarantine records the requests under which upstreams crashed.
	quarantine *quarantine.Register
	// crashParts records the shared parts of prompts under which upstreams crashed.
	crashParts *quarantine.PartRegister
	// origins records where streams began.
	origins *origins.Register
}

// New assembles a box; Run starts it. Each component is created after those that it uses. There are two
// exceptions, which components created earlier reach through n at each call: the configuration in force
// (table) and the copy of the store (state, storeLost).
func New(config Config) *Node {
	self := cluster.Box{
		Name:        config.Name,
		Hall:        config.Hall,
		Address:     config.PeerAddress,
		Incarnation: uuid.NewString(),
		Cores:       config.Cores,

		CarriesTunnels: config.DialUpstream != nil,
		KeepsOrigins:   true,
	}
	n := &Node{}
	s := shared{
		directory: newDirectory(config),
		loads:     dispatch.NewLoadTracker(),
		demand:    &residency.Demand{},
		pending:   cluster.NewPendingUpdates(),
		members:   cluster.NewMembers(self, n.storeLost),

		quarantine: newQuarantine(config),
		origins:    newOrigins(config),
	}
	n.members = s.members
	s.crashParts = newCrashParts(config, s.members)
	n.orderCtx, n.stopOrdering = context.WithCancel(context.Background())
	n.client = peer.NewClient(config.PeerSecret, config.Dial, config.Metrics)
	n.orderLease = n.newOrderLease(config, s)
	n.controller = n.newController(config, s)
	ensurer := &cluster.Ensurer{Members: s.members, Client: n.client, Controller: n.controller}
	quotas := &cluster.Quotas{Members: s.members, Client: n.client, Keeper: customers.NewKeeper(config.Quotas), Log: config.Log}
	n.spender = customers.NewSpender(quotas.Ask)
	reservations := &cluster.Reservations{Members: s.members, Client: n.client, Kept: dispatch.NewReservations(), Log: config.Log}
	rates := &cluster.RateGrants{
		Members: s.members, Client: n.client, Directory: s.directory, Loads: s.loads, Kept: dispatch.NewRateAccounts(config.ColdStarts), Log: config.Log,
	}
	plainPlaces := newPlaces(config, s, n.client)
	n.originRecorder = &storeview.OriginRecorder{Platform: config.Platform, Incarnation: self.Incarnation, Log: config.Log}
	n.origins = &cluster.Origins{Members: s.members, Client: n.client, Directory: s.directory, Kept: s.origins, Save: n.originRecorder.Add, Log: config.Log}
	config.Metrics.NewGauge("ospreymoor_origins_unsaved", func() float64 { return float64(n.originRecorder.Dropped()) })
	n.tunnels = n.newTunnels(config, s)
	n.Gateway = newGateway(config, s, ensurer, n.spender, reservations, rates, plainPlaces, n.gatewayOrigins(), n.gatewayTunnels())
	n.Gateway.ListAge = func() time.Duration { return n.view.Mirror().Staleness() }
	n.Gateway.BoxesInTouch, n.Gateway.LinkBytesPerSecond = s.members.InTouch, config.LinkBytesPerSecond
	n.Gateway.ConfigMissing = func() bool { return n.view.ConfigMissing() }
	n.tunnels.Links = &n.Gateway.Links
	n.view = n.newView(config, s)
	n.exchange = n.newExchange(config, s)
	config.Metrics.NewGauge("ospreymoor_held_bytes", func() float64 { return float64(n.Gateway.CallerMemory.Used()) })
	config.Metrics.NewGauge("ospreymoor_evacuated_requests", func() float64 { return evacuatedRequests(s) })
	n.holdRecorder = &storeview.HoldRecorder{
		Platform: config.Platform, Quarantine: s.quarantine, CrashParts: s.crashParts, Records: n.state, IsResponsible: s.members.IsKeeperOf, Log: config.Log,
	}
	n.registration = storeview.NewRegistration(config.Platform, self, config.Log)
	n.registration.Boxes = s.members.Boxes
	n.server = peer.NewServer(config.PeerSecret, config.Metrics)
	n.server.OnAcceptError = func(err error) {
		config.Log.Warn("connection of another box not accepted", logfield.Error(err))
	}
	n.exchange.Handle(n.server)
	ensurer.Handle(n.server)
	quotas.Handle(n.server)
	reservations.Handle(n.server)
	rates.Handle(n.server)
	plainPlaces.Handle(n.server)
	n.origins.Handle(n.server)
	if config.DialUpstream != nil {
		n.tunnels.Handle(n.server)
	}
	n.orderLease.Handle(n.server, n.controller.LastOrders)
	return n
}

// newDirectory returns a directory that counts and logs the notices of upstreams.
func newDirectory(config Config) *fleet.Directory {
	directory := fleet.New()
	directory.OnNotice = func(event fleet.NoticeEvent) {
		for _, kind := range event.Kinds() {
			config.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_upstream_notices_total{kind=%q,source=%q}", kind, event.Source)).Inc()
		}
		config.Log.Info("upstream notice",
			zap.String("backend", event.Upstream),
			zap.Strings("kinds", event.Kinds()),
			zap.Duration("rest", event.Backoff),
			zap.Float64p("limit", event.Limit),
			zap.Float64p("rejections", event.Rejections),
			zap.String("unreadable", event.Unreadable),
			zap.String("source", string(event.Source)),
			zap.Int("status", event.Status),
			zap.Int64("listRevision", kv.SequenceOf(directory.Revision())))
	}
	return directory
}

// evacuatedRequests returns how many requests of this box run at upstreams of evacuated halls. A hall is empty
// once no box has any there.
func evacuatedRequests(s shared) float64 {
	count := 0
	for id, load := range s.loads.Loads() {
		if state := s.directory.Get(id); state != nil && state.Evacuated {
			count += load.Running
		}
	}
	return float64(count)
}

// table returns the configuration in force, or nil if there is none.
func (n *Node) table() *routes.Table { return n.Gateway.Table() }

// state returns this box's copy of the store.
func (n *Node) state() mirror.State { return n.view.Mirror().State() }

// gatewayOrigins returns the records of where streams began, as the gateway uses them.
func (n *Node) gatewayOrigins() gateway.Origins {
	return gateway.Origins{Record: n.origins.Record, Find: n.origins.Find, NoteVersions: n.origins.NoteVersions}
}

// storeLost reports whether this box's last attempt to reach the store failed.
func (n *Node) storeLost() bool { return n.view.Mirror().Lost() }

func (n *Node) newOrderLease(config Config, s shared) *orderlease.Lease {
	return orderlease.New(orderlease.Config{
		Name:      config.Name,
		Store:     config.Platform.Store,
		OwnPrefix: config.Platform.OwnPrefix,
		TTL:       config.LeaseTTL,
		OrderGap:  config.OrderGap,
		Peers: orderlease.Peers{
			AddressOf:      s.members.AddressOf,
			ReachesStore:   s.members.ReachesStore,
			StoreLostByAll: s.members.StoreLostByAll,
			Listed:         s.members.Listed,
			HighestTerm:    func() int64 { return max(s.members.HighestTerm(), s.directory.Version().Term) },
			FollowsRelay:   s.members.FollowsRelay,
		},
		Client:  n.client,
		State:   n.state,
		Leaving: n.leaving.Load,
		CutOff:  func() time.Duration { return n.Gateway.Links.LostFor() },
		Log:     config.Log,
	})
}

func (n *Node) newController(config Config, s shared) *residency.Controller {
	return residency.New(residency.Config{
		Holder:       config.Name,
		Directory:    s.directory,
		Table:        n.table,
		Engines:      config.Upstreams.Engines,
		Term:         n.orderLease.Term,
		NotBefore:    n.orderLease.NotBefore,
		Running:      func(upstream string) int { return s.loads.Total(upstream).Running },
		Unresponsive: s.loads.Unresponsive,
		Demand:       s.demand,
		MoveCost:     config.MoveCost,
		Log:          config.Log,
	})
}

// newPlaces returns the places of plain services, and exports those that this box knows of as a keeper.
func newPlaces(config Config, s shared, client *peer.Client) *cluster.Places {
	p := cluster.NewPlaces(s.members, client, s.directory, s.loads, config.Log)
	gauge := func(state string, of func(known, taken, waiting int) int) {
		config.Metrics.NewGauge(fmt.Sprintf("ospreymoor_places{state=%q}", state), func() float64 { return float64(of(p.Counts())) })
	}
	gauge("known", func(known, _, _ int) int { return known })
	gauge("taken", func(_, taken, _ int) int { return taken })
	gauge("waiting", func(_, _, waiting int) int { return waiting })
	return p
}

func newGateway(config Config, s shared, ensurer *cluster.Ensurer, spender *customers.Spender, reservations *cluster.Reservations,
	rates *cluster.RateGrants, plainPlaces *cluster.Places, streamOrigins gateway.Origins, tunnels gateway.Tunnels) *gateway.Gateway {
	return gateway.New(gateway.Config{
		Directory:    s.directory,
		Loads:        s.loads,
		Chooser:      &dispatch.Chooser{Loads: s.loads, Hall: config.Hall},
		Upstreams:    config.Upstreams,
		Regions:      config.Regions,
		Ensure:       ensurer.Ensure,
		Tunnels:      tunnels,
		RecordDemand: s.pending.AddWork,
		Reserve:      reservations.Reserve,
		FinishPrompt: reservations.Finish,
		AskRate:      rates.Ask,

		ReportRejection: rates.Reject,

		LateReturns: s.members.Large,
		Places:      gateway.Places{Counted: plainPlaces.Counted, Ask: plainPlaces.Ask, Return: plainPlaces.Return},
		Quotas:      gateway.Quotas{Take: spender.Take, Return: spender.Return},
		Origins:     streamOrigins,

		Quarantine: s.quarantine,
		CrashParts: s.crashParts,

		MemoryBytes: config.MemoryBytes,

		MaxConnections: config.MaxConnections,

		Retries: config.Retries,
		Boxes:   s.members.Boxes,
		Log:     config.Log,
		Metrics: config.Metrics,
	})
}

// newQuarantine returns an empty register of requests under which upstreams crashed. It logs each request that is
// held, and exports how many are held or suspected.
func newQuarantine(config Config) *quarantine.Register {
	register := quarantine.NewRegister(config.Quarantine)
	register.OnHeld = func(request quarantine.Fingerprint, verdict quarantine.Verdict) {
		config.Log.Info("request held: upstreams crash under it",
			zap.Stringer("content", request),
			zap.Int("crashes", verdict.Crashes),
			zap.Strings("crashedUpstreams", verdict.Upstreams),
			zap.Duration("crashAge", verdict.Age),
			zap.Duration("for", verdict.RetryAfter),
			zap.String("source", string(verdict.Source)))
	}
	config.Metrics.NewGauge(`ospreymoor_crash_requests{state="held"}`, func() float64 { return float64(register.Counts().Held) })
	config.Metrics.NewGauge(`ospreymoor_crash_requests{state="suspected"}`, func() float64 { return float64(register.Counts().Suspected) })
	return register
}

// newCrashParts returns an empty register of parts of prompts under which upstreams crashed. It logs each part that is
// held, and exports how many are held or suspected.
func newCrashParts(config Config, members *cluster.Members) *quarantine.PartRegister {
	register := quarantine.NewPartRegister(config.CrashParts, config.Name)
	register.Boxes = members.Boxes
	register.OnHeld = func(verdict quarantine.PartVerdict) {
		config.Log.Info("part of prompts held: upstreams crash under it", zap.Duration("for", verdict.RetryAfter), zap.Inline(verdict))
	}
	config.Metrics.NewGauge(`ospreymoor_crash_parts{state="held"}`, func() float64 { return float64(register.Counts().Held) })
	config.Metrics.NewGauge(`ospreymoor_crash_parts{state="suspected"}`, func() float64 { return float64(register.Counts().Suspected) })
	return register
}

// newOrigins returns an empty register of where streams began, and exports how many streams it knows.
func newOrigins(config Config) *origins.Register {
	register := origins.NewRegister()
	count := func(of func(known, evicted int) int) func() float64 {
		return func() float64 { return float64(of(register.Counts())) }
	}
	config.Metrics.NewGauge(`ospreymoor_origins{state="known"}`, count(func(known, _ int) int { return known }))
	config.Metrics.NewGauge(`ospreymoor_origins{state="evicted"}`, count(func(_, evicted int) int { return evicted }))
	return register
}

func (n *Node) newView(config Config, s shared) *storeview.View {
	return storeview.New(storeview.Config{
		Platform:   config.Platform,
		Directory:  s.directory,
		Members:    s.members,
		OrderLease: n.orderLease,
		Quarantine: s.quarantine,
		CrashParts: s.crashParts,
		Origins:    s.origins,
		SetTable:   n.Gateway.SetTable,
		Forget: func(upstream string) {
			config.Upstreams.Forget(upstream)
			s.loads.Forget(upstream)
		},
		// A box without seeds, or that is a seed itself, has no other box to ask for a first copy.
		ReadsFullStore: len(config.Seeds) == 0 || slices.Contains(config.Seeds, config.PeerAddress),
		Metrics:        config.Metrics,
		Log:            config.Log,
	})
}

func (n *Node) newExchange(config Config, s shared) *cluster.Exchange {
	return cluster.NewExchange(cluster.Config{
		Seeds:      config.Seeds,
		Members:    s.members,
		Pending:    s.pending,
		Client:     n.client,
		Mirror:     n.view.Mirror(),
		Directory:  s.directory,
		Loads:      s.loads,
		Demand:     s.demand,
		Controller: n.controller,
		Quarantine: s.quarantine,
		CrashParts: s.crashParts,
		ModelUses:  n.Gateway.ModelUses,
		Reach:      &n.Gateway.Reach,
		Links:      &n.Gateway.Links,

		VersionInForce: n.view.VersionInForce, HeldConfig: n.view.HeldConfig, PutInForce: n.view.PutInForce,

		Leaving: n.leaving.Load,
		OnLapsed: func(changes []fleet.Change) {
			n.view.NoteChanges(changes)
			n.view.EndLostEvacuations()
		},
		Log: config.Log,

		LinkBytesPerSecond: config.LinkBytesPerSecond,
	})
}
