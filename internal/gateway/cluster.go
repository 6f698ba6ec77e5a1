package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// cluster is what this machine knows of the others, and tells them.
type cluster struct {
	self       node
	seeds      []string
	client     *peer.Client
	gateway    *Gateway
	controller *residency.Controller
	demand     *residency.Demand
	mirror     *mirror.Mirror
	boxes      *outboxes
	log        *zap.Logger
	leaving    func() bool
	storeLost  func() bool
	// changed is told of back ends that are dropped.
	changed func([]fleet.Change)

	// fetching tells that a copy is being fetched.
	fetching atomic.Bool

	mu    sync.Mutex
	nodes map[string]*member
	// told is the order holder as peers told that heard it.
	told heardHolder
	// most is the largest number of machines that was known at once.
	most int
	// strayed is when a machine was last called that is none of the usual partners.
	strayed time.Time
}

// heardHolder is a peer's word on the order holder, and when the holder said so itself.
type heardHolder struct {
	orderHolder
	said time.Time
}

// member is another machine.
type member struct {
	node
	// registered tells that the store lists it now.
	registered bool
	// heard is when it last said something.
	heard     time.Time
	leaving   bool
	storeLost bool
	// storeHeard is when it last heard the store, as it says.
	storeHeard time.Time
	// holder tells that it said to hold the order lease.
	holder bool
	// voice and tally are what it last told, at tallied.
	voice   voice
	tally   tally
	tallied time.Time
	// calling tells that an exchange with it is under way, and called when the last one began.
	calling bool
	called  time.Time
	// failed is when an exchange last failed, and failures how many did in a row.
	failed   time.Time
	failures int
}

const (
	// exchangeInterval is the least time between two exchanges with one peer, and memberInterval
	// that between a machine and the relay of its zone.
	exchangeInterval = 150 * time.Millisecond
	memberInterval   = 250 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 600 * time.Millisecond
	// memberTime is how long a machine that the store does not list and that says nothing is kept.
	memberTime = 15 * time.Second
	// failurePause is how long a peer that does not answer is left alone, by failures in a row.
	failurePause = 200 * time.Millisecond
	// longFailurePause bounds it.
	longFailurePause = 2 * time.Second
	// holderTime is how long a peer's word that it holds the order lease is believed.
	holderTime = 4 * time.Second
	// lostFailures is after how many failed exchanges in a row a machine counts as lost.
	lostFailures = 2
)

// setNodes takes the store's list of machines: the records below prefix.
func (c *cluster) setNodes(list mirror.State, prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.nodes {
		m.registered = false
	}
	for key, record := range list.Records {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		var n node
		if err := json.Unmarshal(record.Value, &n); err != nil || n.Name == c.self.Name {
			continue
		}
		c.member(n).registered = true
	}
	c.most = max(c.most, len(c.nodes)+1)
}

// member returns the state of a machine. The caller holds the lock.
func (c *cluster) member(n node) *member {
	m := c.nodes[n.Name]
	if m == nil {
		m = &member{}
		c.nodes[n.Name] = m
	}
	if m.Incarnation != n.Incarnation {
		m.holder, m.failures = false, 0
	}
	m.node = n
	return m
}

// machines is the largest number of machines known to share budgets.
func (c *cluster) machines() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(1, c.most)
}

// run exchanges news with peers until ctx ends.
func (c *cluster) run(ctx context.Context) {
	c.askSeeds(ctx)
	for {
		c.round(ctx)
		if pause.For(ctx, exchangeInterval) != nil {
			return
		}
	}
}

// round takes stock and starts an exchange with each peer that is this machine's to call now.
func (c *cluster) round(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	c.forgetGone(now)
	targets := c.targets(now)
	due := c.partners(now)
	c.mu.Unlock()
	c.demand.Note(c.boxes.collect(c.gateway.Loads, targets), now)
	c.takeStock(now)
	c.gateway.Directory.ForgetExpired()
	c.changed(c.gateway.Directory.DropLapsed())
	for _, call := range due {
		go c.exchangeWith(ctx, call)
	}
}

// forgetGone drops machines that are neither registered nor heard. The caller holds the lock.
func (c *cluster) forgetGone(now time.Time) {
	for name, m := range c.nodes {
		if !m.registered && now.Sub(m.heard) > memberTime {
			delete(c.nodes, name)
		}
	}
}
