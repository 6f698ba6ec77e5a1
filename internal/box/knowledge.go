package box

import (
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/records"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// knowledge holds what a box knows of the fleet, and the parts that keep it up to date. All of it is soft state: the
// store, the box list and the peers have it too.
type knowledge struct {
	cache   *records.Cache
	reader  *recordReader
	fetcher *recordFetcher
	view    *membership.View
	members *members
	router  *routing.Router
	fleet   *fleetState
	inForce *bundlesInForce

	follower *storeFollower
	boxList  *boxListReader
	applier  *recordApplier
	// heartbeats exchanges records with other boxes.
	heartbeats *heartbeats
}

func newKnowledge(config Config, self *self, c *connections, log *zap.Logger, set *metrics.Set) *knowledge {
	k := &knowledge{cache: records.NewCache(), view: membership.NewView(config.ID), router: routing.New(routing.Config{})}
	k.reader = newRecordReader(k.cache, log)
	k.fetcher = &recordFetcher{peers: c.peers, cache: k.cache}
	k.members = &members{self: self, view: k.view}
	k.fleet = newFleetState(fleetConfig{
		self:         self,
		hallDistance: config.Requests.HallDistance,
		reader:       k.reader,
		view:         k.view,
		router:       k.router,
	})
	k.inForce = &bundlesInForce{self: self, log: log, cache: k.cache, store: c.store, view: k.view, fetcher: k.fetcher}
	k.heartbeats = &heartbeats{
		self:       self,
		members:    k.members,
		interval:   config.Peers.HeartbeatInterval,
		knownPeers: config.Peers.Known,
		router:     k.router,
		cache:      k.cache,
		fleet:      k.fleet,
		fetcher:    k.fetcher,
		peers:      c.peers,
		set:        set,
		sendSoon:   newSignal(),
	}
	k.addReaders(config.Platform.URL, c, log, set)
	return k
}

// addReaders makes the parts that read the store and the box list, and the one that applies what they read.
func (k *knowledge) addReaders(url string, c *connections, log *zap.Logger, set *metrics.Set) {
	k.follower = &storeFollower{store: c.store, cache: k.cache, members: k.members, inForce: k.inForce}
	k.boxList = &boxListReader{
		url:     url,
		client:  c.platform,
		members: k.members,
		cache:   k.cache,
		cleaner: &staleStateCleaner{
			members: k.members,
			fleet:   k.fleet,
			engines: c.engines,
			router:  k.router,
			inForce: k.inForce,
			cache:   k.cache,
		},
		set: set,
	}
	k.applier = &recordApplier{
		cache:         k.cache,
		reader:        k.reader,
		view:          k.view,
		fleet:         k.fleet,
		inForce:       k.inForce,
		log:           log,
		set:           set,
		changed:       newSignal(),
		heartbeatSoon: k.heartbeats.sendSoon,
	}
	k.cache.Subscribe(func(records.Record) { wake(k.applier.changed) })
}
