package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/logfield"
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

	// fetching tells that a copy is being fetched.
	fetching atomic.Bool

	mu    sync.Mutex
	nodes map[string]*member
	// most is the largest number of machines that was known at once.
	most int
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
	// holder tells that it said to hold the order lease, under term.
	holder bool
	term   int64
	// calling tells that an exchange with it is under way.
	calling bool
	// failed is when an exchange last failed, and failures how many did in a row.
	failed   time.Time
	failures int
}

const (
	// exchangeInterval is the least time between two exchanges with one peer.
	exchangeInterval = 150 * time.Millisecond
	// intervalPerNode lengthens it where there are many machines.
	intervalPerNode = 7 * time.Millisecond
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
)

// setNodes takes the store's list of machines: the records below prefix.
func (c *cluster) setNodes(list mirror.Copy, prefix string) {
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

// run exchanges news with all peers until ctx ends.
func (c *cluster) run(ctx context.Context) {
	c.askSeeds(ctx)
	for {
		c.round(ctx)
		if pause.For(ctx, c.interval()) != nil {
			return
		}
	}
}

func (c *cluster) interval() time.Duration {
	return max(exchangeInterval, time.Duration(c.machines())*intervalPerNode)
}

func (c *cluster) exchangeWith(ctx context.Context, m *member) {
	c.mu.Lock()
	name, address := m.Name, m.Address
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := peer.Call[exchange](callCtx, c.client, address, methodExchange, c.message(name, fleet.Stamp{}, false))
	c.mu.Lock()
	m.calling = false
	if err != nil {
		m.failed = time.Now()
		m.failures++
		first := m.failures == 1
		c.mu.Unlock()
		if first && ctx.Err() == nil {
			c.log.Info("peer lost", zap.String("peer", name), logfield.Error(err))
		}
		return
	}
	regained := m.failures > 0
	m.failures = 0
	c.mu.Unlock()
	if regained {
		c.log.Info("peer regained", zap.String("peer", name))
	}
	c.hear(ctx, answer)
}

// message is what one peer is told now. Residencies go along if the peer is known to know less.
func (c *cluster) message(to string, known fleet.Stamp, withResidencies bool) exchange {
	box := c.boxes.take(to)
	_, notHolder := c.controller.Term()
	message := exchange{
		From:      c.self,
		Leaving:   c.leaving(),
		StoreLost: c.storeLost(),
		StoreAge:  c.mirror.Age(),
		Revision:  c.mirror.State().Revision,
		Holder:    notHolder == nil,
		Stamp:     c.gateway.Directory.Stamp(),
		News:      dispatch.News{Loads: c.gateway.Book.Loads(), Sent: box.sent, Verdicts: box.verdicts},
		Uses:      c.gateway.uses.list(),
	}
	for key, milliseconds := range box.work {
		message.Work = append(message.Work, workItem{ModelKey: key, Milliseconds: milliseconds})
	}
	if withResidencies && known.Before(message.Stamp) {
		_, message.Residencies = c.gateway.Directory.Residencies()
	}
	return message
}

// answerExchange answers a peer's exchange.
func (c *cluster) answerExchange(ctx context.Context, said exchange) (exchange, error) {
	c.hear(context.WithoutCancel(ctx), said)
	return c.message(said.From.Name, said.Stamp, true), nil
}

// hear takes in what a peer said, and fetches what it has newer.
func (c *cluster) hear(ctx context.Context, said exchange) {
	c.mu.Lock()
	m := c.member(said.From)
	m.heard = time.Now()
	m.leaving, m.storeLost = said.Leaving, said.StoreLost
	m.storeHeard = m.heard.Add(-said.StoreAge)
	m.holder, m.term = said.Holder, said.Stamp.Term
	c.most = max(c.most, len(c.nodes)+1)
	c.mu.Unlock()
	c.gateway.Book.Hear(said.From.Name, said.News)
	if len(said.Work) > 0 {
		work := make(map[residency.ModelKey]float64, len(said.Work))
		for _, item := range said.Work {
			work[item.ModelKey] += item.Milliseconds
		}
		c.demand.Note(work, time.Now())
	}
	c.controller.Used(said.From.Name, said.Uses)
	directory := c.gateway.Directory
	if len(said.Residencies) > 0 {
		directory.SetResidency(said.Stamp.Term, said.Residencies)
	}
	newer := said.Revision > c.mirror.State().Revision
	if newer || (len(said.Residencies) == 0 && directory.Stamp().Before(said.Stamp)) {
		go c.fetch(ctx, said, newer)
	}
}

// fetch gets what a peer has newer.
func (c *cluster) fetch(ctx context.Context, from exchange, newer bool) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if !newer {
		// An exchange of our own is answered with the residencies.
		answer, err := peer.Call[exchange](callCtx, c.client, from.From.Address, methodExchange, c.message(from.From.Name, fleet.Stamp{}, false))
		if err == nil && len(answer.Residencies) > 0 {
			c.gateway.Directory.SetResidency(answer.Stamp.Term, answer.Residencies)
		}
		return
	}
	c.fetchCopy(callCtx, from.From.Address)
}

// fetchCopy gets what a machine's copy of the store has newer.
func (c *cluster) fetchCopy(ctx context.Context, address string) {
	if !c.fetching.CompareAndSwap(false, true) {
		return
	}
	defer c.fetching.Store(false)
	request := copyRequest{Revision: c.mirror.State().Revision}
	answer, err := peer.Call[copyAnswer](ctx, c.client, address, methodCopy, request)
	if err == nil && answer.Delta != nil {
		c.mirror.Offer(*answer.Delta)
	}
}

// askSeeds gets a first copy from the machines named in the settings: the store may be away.
func (c *cluster) askSeeds(ctx context.Context) {
	for _, seed := range c.seeds {
		if seed == c.self.Address || c.mirror.State().Revision > 0 {
			continue
		}
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			answer, err := peer.Call[exchange](callCtx, c.client, seed, methodExchange, c.message("", fleet.Stamp{}, false))
			if err != nil {
				return
			}
			c.hear(ctx, answer)
			c.fetchCopy(callCtx, seed)
		}()
	}
}

func (c *cluster) answerCopy(_ context.Context, request copyRequest) (copyAnswer, error) {
	return copyAnswer{Delta: c.mirror.Since(request.Revision)}, nil
}

func (c *cluster) answerEnsure(ctx context.Context, request ensureRequest) (ensureAnswer, error) {
	ensured, err := c.controller.Ensure(ctx, request.Service, request.Model, request.Adapter)
	answer := ensureAnswer{Ensured: ensured}
	if err != nil {
		answer.Error = err.Error()
	}
	return answer, nil
}

// errNoHolder says that no machine is known to give orders.
const errNoHolder = errors.ConstError("no machine is known to hold the order lease: wait for the next one")

// ensure asks the order holder, which may be this machine.
func (c *cluster) ensure(ctx context.Context, service, model, adapter string) (residency.Ensured, error) {
	ensured, err := c.controller.Ensure(ctx, service, model, adapter)
	if !errors.Is(err, residency.ErrNotHolder) {
		return ensured, err
	}
	address, ok := c.holder()
	if !ok {
		return residency.Ensured{}, errNoHolder
	}
	request := ensureRequest{Service: service, Model: model, Adapter: adapter}
	answer, err := peer.Call[ensureAnswer](ctx, c.client, address, methodEnsure, request)
	if err != nil {
		return residency.Ensured{}, err
	}
	if answer.Error != "" {
		return answer.Ensured, errors.New(answer.Error)
	}
	return answer.Ensured, nil
}
