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
	// crashDelay is how long an upstream runs a request that crashes it, and restartTime how long it is down afterwards.
	// On a recorded day these were 0.04 to 0.2 s, and 3.5 s.
	crashDelay  = 60 * time.Millisecond
	restartTime = 3500 * time.Millisecond
	// eventGap is the time between two of the eventsPerAnswer events of an answer.
	eventGap        = 100 * time.Millisecond
	eventsPerAnswer = 12
	// propagationTime is how long it may take until every connected box knows of a crash.
	propagationTime = 3 * time.Second
)

// crashFleet is a fleet of boxes with upstreams that crash under certain requests.
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
	// partitioned holds the halls that are separated from all others and from the store.
	partitioned map[string]bool
	// crashes holds the times of all crashes.
	crashes []time.Time
	// crashingParts holds the parts of prompts that crash each upstream that begins to write an answer on them.
	crashingParts map[string]bool
	// eventFirst means that an upstream writes an event before it crashes under a request.
	eventFirst bool
	// crashedUnder holds the times of crashes by cause, which is the body of a request or a part of its prompt, and
	// received when requests with this cause reached an upstream that was up.
	crashedUnder, received map[string][]time.Time
	outcomes               map[string]int
	// crashesDuring counts the crashes of upstreams that ran a request at that moment, by the request's body.
	crashesDuring map[string]int
	// crashesOfHeld has the number of such crashes for each harmless request that was held twice.
	crashesOfHeld []int
	// policy is the quarantine policy of all boxes. If isolated is set, they do not report crashes to each other.
	policy   quarantine.Policy
	isolated bool
	// tune changes a box's configuration, and tuneNode the box before it runs; nil changes nothing.
	tune     func(*Config)
	tuneNode func(*Node)
}

// crashUpstream is one upstream. A crash ends the context alive; a restart makes a new one.
type crashUpstream struct {
	up bool
	// running counts the requests that are running, by their body.
	running map[string]int
	alive   context.Context
	kill    context.CancelFunc
}

// withCrashFleet runs f on a fleet in a bubble. It calls before ahead of starting the boxes.
func withCrashFleet(size smallFleetSize, before, f func(*crashFleet)) {
	boxes := size.boxes
	spectest.Bubble(func() {
		c := &crashFleet{
			policy: quarantine.DefaultPolicy, crashingParts: map[string]bool{}, crashedUnder: map[string][]time.Time{}, received: map[string][]time.Time{},
			boxes: boxes, halls: size.halls, store: kv.NewMemory().Store(), upstreams: map[string]*crashUpstream{}, partitioned: map[string]bool{},
			outcomes: map[string]int{}, crashesDuring: map[string]int{}, nodes: make([]*Node, boxes), stops: make([]context.CancelFunc, boxes),
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
			time.Sleep(time.Minute) // Work that was started for a term of the order lease ends with it.
		}()
		time.Sleep(8 * time.Second) // Until each hall's relay is known.
		f(c)
	})
}

func (c *crashFleet) put(key, value string) {
	_, err := c.store.Swap(context.Background(), kv.Swap{Key: key, Value: []byte(value)})
	Expect(err).NotTo(HaveOccurred())
}

func (c *crashFleet) hallOf(n int) string { return fmt.Sprint("z", n%c.halls) }

// start starts a box, or restarts it.
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
		Send: c.sendToUpstream, RefusesConnection: c.refuses, Forget: func(string) {}, Engines: residency.Engines{},
	}
	config.Quarantine = c.policy
	if c.tune != nil {
		c.tune(&config)
	}
	node := New(config)
	if c.tuneNode != nil {
		c.tuneNode(node)
	}
	if c.isolated {
		node.Gateway.Quarantine = quarantine.NewRegister(c.policy)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.mu.Lock()
	c.nodes[n], c.stops[n] = node, stop
	c.mu.Unlock()
	listener := c.network.Listen(address)
	c.running.Go(func() {
		node.Run(ctx, listener)
		_ = listener.Close()
	})
}

// restartAll stops all boxes, and starts them again once all have stopped.
func (c *crashFleet) restartAll() {
	for n := range c.boxes {
		c.stops[n]()
	}
	c.running.Wait()
	for n := range c.boxes {
		c.start(n)
	}
}

// process returns a box's process, which other goroutines may restart, and the function that stops it.
func (c *crashFleet) process(n int) (*Node, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[n], c.stops[n]
}

// restart makes an upstream accept requests again.
func (c *crashFleet) restart(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	alive, kill := context.WithCancel(context.Background())
	*c.upstreams[id] = crashUpstream{up: true, running: map[string]int{}, alive: alive, kill: kill}
}

// crash ends an upstream and all requests that it runs, and restarts it after restartTime. The cause is the body of the
// request that crashes it, a part of its prompt, or empty.
func (c *crashFleet) crash(id, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	upstream := c.upstreams[id]
	if !upstream.up {
		return
	}
	c.crashedUnder[cause] = append(c.crashedUnder[cause], time.Now())
	upstream.up = false
	upstream.kill()
	c.crashes = append(c.crashes, time.Now())
	for body := range upstream.running {
		c.crashesDuring[body]++
	}
	c.callers.Go(func() {
		time.Sleep(restartTime)
		c.restart(id)
	})
}

// crashTogether crashes every n-th upstream at the same moment, where n is every.
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

// crashingPrefix begins the bodies of requests that crash upstreams.
const crashingPrefix = "guilty"

// causeOf returns what crashes the upstreams that run a request: its body, a part of its prompt, or nothing.
func (c *crashFleet) causeOf(request *gateway.Request) string {
	if strings.HasPrefix(string(request.Body), crashingPrefix) {
		return string(request.Body)
	}
	for _, part := range request.Prompt {
		if c.crashingParts[part.ID] {
			return part.ID
		}
	}
	return ""
}

func (c *crashFleet) sendToUpstream(ctx context.Context, to *fleet.Endpoint, attempt gateway.Attempt) (*gateway.Answer, error) {
	body := string(attempt.Request.Body)
	c.mu.Lock()
	cause := c.causeOf(attempt.Request)
	upstream := *c.upstreams[to.ID]
	if upstream.up {
		c.received[cause] = append(c.received[cause], time.Now())
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
		if cause != "" {
			if c.eventFirst {
				_, _ = io.WriteString(writer, "id: 1\ndata: event\n\n")
			}
			if pause.For(ctx, crashDelay) == nil {
				c.crash(to.ID, cause)
			}
		}
		err := writeEvents(upstream.alive, writer, attempt.LastEventID, "event")
		c.mu.Lock()
		if upstream.running[body]--; upstream.running[body] == 0 {
			delete(upstream.running, body)
		}
		c.mu.Unlock()
		_ = writer.CloseWithError(err)
	})
	return &gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

// writeEvents writes the events of an answer that follow the event with the id last, with equal data. It fails when
// alive ends.
func writeEvents(alive context.Context, w io.Writer, last, data string) error {
	n := 0
	_, _ = fmt.Sscan(last, &n)
	for n++; n <= eventsPerAnswer; n++ {
		if pause.For(alive, eventGap) != nil {
			return io.ErrUnexpectedEOF
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
			return err
		}
	}
	return io.EOF
}
