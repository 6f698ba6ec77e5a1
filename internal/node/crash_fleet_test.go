package node

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/gateway"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

const (
	// crashDelay is how long an upstream runs a request that crashes it, and restartTime how long it is away then.
	// Measured on a recorded day: 0.04 to 0.2 s, and 3.5 s.
	crashDelay  = 60 * time.Millisecond
	restartTime = 3500 * time.Millisecond
	// eventGap is the time between two of the eventsPerAnswer events of an answer.
	eventGap        = 100 * time.Millisecond
	eventsPerAnswer = 12
	// touchTime is after how long every box that is in touch must know what the fleet knows.
	touchTime = 3 * time.Second
)

// crashFleet is boxes before upstreams that crash under one request.
type crashFleet struct {
	boxes, halls int
	store        kv.Store
	network      spectest.Network
	nodes        []*Node
	stops        []context.CancelFunc
	running      sync.WaitGroup
	callers      sync.WaitGroup

	mu        sync.Mutex
	upstreams map[string]*crashUpstream
	// cut are the halls that nobody outside reaches, the store neither.
	cut map[string]bool
	// crashes are when upstreams crashed.
	crashes []time.Time
	// crashedUnder and sent are when upstreams crashed under a request and when it reached one that was up, by its body.
	crashedUnder, sent map[string][]time.Time
	outcomes           map[string]int
	// under counts the crashes that each request was under way at, by its body.
	under map[string]int
	// heldAfter are at how many crashes each innocent request was under way that was not served.
	heldAfter []int
	// policy is that of all boxes, and alone means that they do not tell each other.
	policy quarantine.Policy
	alone  bool
	// tune changes a box's configuration and tuneNode the box, before it runs; nil changes nothing.
	tune     func(*Config)
	tuneNode func(*Node)
}

// crashUpstream is one upstream; each crash ends its life.
type crashUpstream struct {
	up bool
	// running are the requests under way, by their body.
	running map[string]int
	life    context.Context
	end     context.CancelFunc
}

// withCrashFleet runs f on a fleet in a bubble.
func withCrashFleet(size smallFleetSize, before, f func(*crashFleet)) {
	boxes := size.boxes
	spectest.Bubble(func() {
		c := &crashFleet{
			policy: quarantine.DefaultPolicy, crashedUnder: map[string][]time.Time{}, sent: map[string][]time.Time{},
			boxes: boxes, halls: size.halls, store: kv.NewMemory().Store(), upstreams: map[string]*crashUpstream{}, cut: map[string]bool{},
			outcomes: map[string]int{}, under: map[string]int{}, nodes: make([]*Node, boxes), stops: make([]context.CancelFunc, boxes),
		}
		c.put("config", "1")
		for n := range size.upstreams {
			c.put("servers/"+upstreamName(n), upstreamName(n))
			c.upstreams[upstreamName(n)] = &crashUpstream{}
			c.restart(upstreamName(n))
		}
		before(c)
		for n := range boxes {
			c.start(n)
		}
		defer func() {
			c.callers.Wait()
			for n := range boxes {
				c.stops[n]()
			}
			c.running.Wait()
			time.Sleep(time.Minute) // What was begun for a term ends with it.
		}()
		time.Sleep(8 * time.Second) // Until relays are found.
		f(c)
	})
}

func (c *crashFleet) put(key, value string) {
	_, err := c.store.Swap(context.Background(), kv.Swap{Key: key, Value: []byte(value)})
	Expect(err).NotTo(HaveOccurred())
}

func (c *crashFleet) hallOf(n int) string { return fmt.Sprint("z", n%c.halls) }

// start runs a box, also one that ran before.
func (c *crashFleet) start(n int) {
	name, address := smallBoxName(n), smallBoxAddress(n)
	config := testConfig(name, c.hallOf(n), address, c.storeOf(c.hallOf(n)), c.dial(c.hallOf(n)))
	config.Platform.DecodeTable = func(map[string]kv.Record) (*routes.Table, error) {
		route := routes.Route{
			Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Stream, Resumable: true, Timeout: 10 * time.Second,
			Target: time.Second, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}},
		}
		return routes.New(1, []routes.Route{route}, []routes.Service{{Name: "s"}}, routes.Limits{}), nil
	}
	config.Retries = gateway.RetryLimits{Ratio: 0.2, Slack: 1000}
	config.Upstreams = gateway.Upstreams{
		Send: c.send, Refuses: c.refuses, Forget: func(string) {}, Engines: residency.Engines{},
	}
	config.Quarantine = c.policy
	if c.tune != nil {
		c.tune(&config)
	}
	node := New(config)
	if c.tuneNode != nil {
		c.tuneNode(node)
	}
	if c.alone {
		node.Gateway.Quarantine = quarantine.NewRegister(c.policy)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.nodes[n], c.stops[n] = node, stop
	listener := c.network.Listen(address)
	c.running.Go(func() {
		node.Run(ctx, listener)
		_ = listener.Close()
	})
}

// restart has an upstream take requests again.
func (c *crashFleet) restart(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	life, end := context.WithCancel(context.Background())
	*c.upstreams[id] = crashUpstream{up: true, running: map[string]int{}, life: life, end: end}
}

// crash ends an upstream with all that it runs, for restartTime; body is that of the request under which it does, if it is one.
func (c *crashFleet) crash(id, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	upstream := c.upstreams[id]
	if !upstream.up {
		return
	}
	c.crashedUnder[body] = append(c.crashedUnder[body], time.Now())
	upstream.up = false
	upstream.end()
	c.crashes = append(c.crashes, time.Now())
	for body := range upstream.running {
		c.under[body]++
	}
	c.callers.Go(func() {
		time.Sleep(restartTime)
		c.restart(id)
	})
}

// crashTogether ends one upstream of every so many at the same moment.
func (c *crashFleet) crashTogether(every int) {
	for n, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		if n%every == 0 {
			c.crash(id, "")
		}
	}
}

func (c *crashFleet) refuses(_ context.Context, of fleet.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.upstreams[of.ID].up
}

// guilty begins the bodies under which upstreams crash.
const guilty = "guilty"

func (c *crashFleet) send(ctx context.Context, to *fleet.Endpoint, attempt gateway.Attempt) (*gateway.Answer, error) {
	body := string(attempt.Request.Body)
	c.mu.Lock()
	upstream := *c.upstreams[to.ID]
	if upstream.up {
		c.sent[body] = append(c.sent[body], time.Now())
		upstream.running[body]++
	}
	c.mu.Unlock()
	if !upstream.up {
		return nil, gateway.ErrNotSent
	}
	reader, writer := io.Pipe()
	c.callers.Go(func() {
		stop := context.AfterFunc(ctx, func() { _ = writer.CloseWithError(io.ErrUnexpectedEOF) })
		defer stop()
		if strings.HasPrefix(body, guilty) && pause.For(ctx, crashDelay) == nil {
			c.crash(to.ID, body)
		}
		err := writeEvents(upstream.life, writer, attempt.LastEventID)
		c.mu.Lock()
		if upstream.running[body]--; upstream.running[body] == 0 {
			delete(upstream.running, body)
		}
		c.mu.Unlock()
		_ = writer.CloseWithError(err)
	})
	return &gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

// writeEvents writes the events after the last one until the upstream's life ends.
func writeEvents(life context.Context, w io.Writer, last string) error {
	n := 0
	_, _ = fmt.Sscan(last, &n)
	for n++; n <= eventsPerAnswer; n++ {
		if pause.For(life, eventGap) != nil {
			return io.ErrUnexpectedEOF
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n); err != nil {
			return err
		}
	}
	return io.EOF
}
