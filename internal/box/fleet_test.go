package box

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1/ospreymoorv1connect"
	"ospreymoor.example/ospreymoor/internal/standin"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/placement"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestBox(t *testing.T) { spectest.Run(t, "Entry box") }

const (
	gib           = 1 << 30
	operatorToken = "operator-token"
	callerToken   = "caller-token"
)

// testFleet is a fleet on an in-memory network, on the fake clock of a synctest bubble.
type testFleet struct {
	net          *memnet
	platform     *standin.Platform
	engines      map[string]*standin.Engine
	services     map[string]*standin.Service
	boxes        map[string]*testBox
	stoppedBoxes []*testBox
	client       *http.Client
	servers      []*http.Server
	// starts counts the boxes started, so that each gets addresses of its own.
	starts int
	// platformCalls counts the calls of the platform.
	platformCalls *callCounter
}

// testBox is one incarnation of a box.
type testBox struct {
	*Box
	address string
	host    string
	stop    context.CancelFunc
	stopped chan struct{}
}

// fleetSpec describes the fleet to start.
type fleetSpec struct {
	halls, boxes, engines int
	memory                int64
	// weightSpeed is the speed of one load in bytes per second. 0 means that loads take no time.
	weightSpeed int64
	// platformFault chooses the fault of each call of the platform.
	platformFault func(path string) standin.Fault
	// engine and config may change the settings of an engine or box before it starts.
	engine func(id string, c *standin.EngineConfig, box *membership.Box)
	config func(c *Config)
}

// withFleet runs f on a fleet in a synctest bubble.
func withFleet(spec fleetSpec, f func(*testFleet)) {
	spectest.Bubble(func() {
		t := newTestFleet(spec)
		defer func() {
			t.close()
			// The bubble's clock stops when its first goroutine returns. Give the others time to end before.
			time.Sleep(time.Minute)
		}()
		f(t)
	})
}

func newTestFleet(spec fleetSpec) *testFleet {
	t := &testFleet{
		net:      newMemnet(),
		platform: standin.NewPlatform(),
		engines:  map[string]*standin.Engine{},
		services: map[string]*standin.Service{},
		boxes:    map[string]*testBox{},
	}
	t.platform.Weights.BytesPerSecond, t.platform.Fault = spec.weightSpeed, spec.platformFault
	t.client = &http.Client{Transport: httpTransport(t.net.dialer("client"))}
	t.platformCalls = newCallCounter(t.platform.Handler())
	t.serve("platform:1", t.platformCalls)
	for h := 1; h <= spec.halls; h++ {
		hall := fmt.Sprintf("h%d", h)
		for e := 1; e <= spec.engines; e++ {
			t.addEngine(spec, hall, fmt.Sprintf("%s-e%d", hall, e))
		}
		t.addService(hall)
		for b := 1; b <= spec.boxes; b++ {
			t.startBox(spec, hall, fmt.Sprintf("%s-b%d", hall, b))
		}
	}
	return t
}

func (t *testFleet) addEngine(spec fleetSpec, hall, id string) {
	config := standin.EngineConfig{
		Memory: spec.memory, Slots: 4, Fenced: true,
		FirstToken: 20 * time.Millisecond, TokenTime: 10 * time.Millisecond,
		Fetch: t.platform.Weights.Fetch,
	}
	box := membership.Box{
		ID: id, Kind: membership.KindEngine, Hall: hall, Pool: "llm", Address: id + ":1",
		Fenced: true, Memory: spec.memory, Slots: 4,
	}
	if spec.engine != nil {
		spec.engine(id, &config, &box)
	}
	t.engines[id] = standin.NewEngine(config)
	t.serve(box.Address, t.engines[id].Handler())
	t.platform.SetBox(box)
}

func (t *testFleet) addService(hall string) {
	id := hall + "-portal"
	t.services[id] = standin.NewService()
	t.services[id].Delay = 100 * time.Millisecond
	t.serve(id+":1", t.services[id].Handler())
	t.platform.SetBox(membership.Box{ID: id, Kind: membership.KindService, Hall: hall, Pool: "portal", Address: id + ":1"})
}

func (t *testFleet) startBox(spec fleetSpec, hall, id string) *testBox {
	t.starts++
	host := fmt.Sprintf("%s.%d", id, t.starts)
	sum := sha256.Sum256([]byte(operatorToken))
	config := Config{
		ID: id, Hall: hall, Log: zap.NewNop(), Dial: t.net.dialer(host),
		Operators: map[string]string{"acme": hex.EncodeToString(sum[:])},
		Peers:     PeerConfig{Address: host + ":2", HeartbeatInterval: time.Second},
		Platform:  PlatformConfig{URL: "http://platform:1", ReadsPerSecond: 200, WritesPerSecond: 50},
		Drain:     DrainConfig{Notice: time.Second},
		Requests:  RequestConfig{MaxBody: 4 << 20, ClaimWindow: time.Hour, HallDistance: 5 * time.Millisecond},
		Control: ControlConfig{
			LeaseTTL: 6 * time.Second, OrderLife: 10 * time.Second, Placement: placement.Settings{MoveCost: 0.2},
		},
	}
	if spec.config != nil {
		spec.config(&config)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &testBox{Box: New(config), address: host + ":1", host: host, stop: cancel, stopped: make(chan struct{})}
	t.boxes[id] = b
	listener, peerListener := t.net.listen(b.address), t.net.listen(config.Peers.Address)
	go func() {
		defer close(b.stopped)
		_ = b.Serve(ctx, listener, peerListener)
	}()
	t.platform.SetBox(membership.Box{ID: id, Kind: membership.KindEntry, Hall: hall, Address: config.Peers.Address})
	return b
}

// kill ends a box as a crash does: other hosts cannot reach it any more.
func (t *testFleet) kill(id string) {
	b := t.boxes[id]
	t.net.kill(b.host)
	b.stop()
	t.stoppedBoxes = append(t.stoppedBoxes, b)
	delete(t.boxes, id)
}

func (t *testFleet) serve(address string, handler http.Handler) {
	server := standin.NewServer(handler)
	t.servers = append(t.servers, server)
	listener := t.net.listen(address)
	go func() { _ = server.Serve(listener) }()
}

func (t *testFleet) close() {
	t.net.mu.Lock()
	clear(t.net.partitioned)
	close(t.net.changed)
	t.net.changed = make(chan struct{})
	t.net.mu.Unlock()
	for _, b := range t.boxes {
		b.stop()
	}
	for _, b := range t.boxes {
		<-b.stopped
	}
	for _, b := range t.stoppedBoxes {
		<-b.stopped
	}
	t.client.CloseIdleConnections()
	for _, server := range t.servers {
		_ = server.Close()
	}
	t.net.mu.Lock()
	var open []*memConn
	for c := range t.net.conns {
		open = append(open, c)
	}
	t.net.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

func (b *testBox) inference(t *testFleet) ospreymoorv1connect.InferenceServiceClient {
	return ospreymoorv1connect.NewInferenceServiceClient(t.client, "http://"+b.address)
}

func (b *testBox) operator(t *testFleet) ospreymoorv1connect.OperatorServiceClient {
	return ospreymoorv1connect.NewOperatorServiceClient(t.client, "http://"+b.address)
}

func authorized[T any](token string, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+token)
	return request
}

// complete sends a request and returns the whole answer.
func (t *testFleet) complete(ctx context.Context, b *testBox, request *ospreymoorv1.GenerateRequest) (string, error) {
	answer, err := b.inference(t).Complete(ctx, authorized(callerToken, &ospreymoorv1.CompleteRequest{Request: request}))
	if err != nil {
		return "", err
	}
	return answer.Msg.GetText(), nil
}

// roll signs a bundle off and rolls it at a box, as soon as the box knows its engines.
func (t *testFleet) roll(b *testBox, text string) {
	parsed, err := bundle.Parse("test", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	client := b.operator(t)
	const limit = 3 * time.Minute // Faults may keep engines unheard for a while.
	t.until(limit, func() error {
		_, err := client.SignOffBundle(context.Background(), authorized(operatorToken, signOffRequest(text)))
		return err
	})
	t.until(limit, func() error {
		_, err := client.RollBundle(context.Background(), authorized(operatorToken, &ospreymoorv1.RollBundleRequest{Version: parsed.Version}))
		return err
	})
}

// until calls do until it succeeds. It fails the test after limit on the bubble's clock.
func (t *testFleet) until(limit time.Duration, do func() error) {
	GinkgoHelper()
	end := time.Now().Add(limit)
	for {
		err := do()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitModels waits until each box answers requests for each model.
func (t *testFleet) awaitModels(models ...string) {
	GinkgoHelper()
	for _, b := range t.boxes {
		for _, model := range models {
			t.until(60*time.Second, func() error {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, err := t.complete(ctx, b, &ospreymoorv1.GenerateRequest{Model: model, Prompt: "ready?", MaxTokens: 1})
				return err
			})
		}
	}
}

// hosts lists the network names of boxes and upstreams: those in the hall, and all others with the platform.
func (t *testFleet) hosts(hall string) (inside, outside []string) {
	all := []string{"platform"}
	for id := range t.engines {
		all = append(all, id)
	}
	for id := range t.services {
		all = append(all, id)
	}
	for _, b := range t.boxes {
		all = append(all, b.host)
	}
	for _, host := range all {
		if strings.HasPrefix(host, hall+"-") {
			inside = append(inside, host)
		} else {
			outside = append(outside, host)
		}
	}
	return inside, outside
}

// overcommitted counts the loads that exceeded an engine's memory.
func (t *testFleet) overcommitted() int {
	n := 0
	for _, e := range t.engines {
		n += e.Record().Overcommitted
	}
	return n
}

// startsOf counts how often a prompt was started on any engine.
func (t *testFleet) startsOf(prompt string) int {
	n := 0
	for _, e := range t.engines {
		n += e.Record().Prompts[prompt]
	}
	return n
}

// newKey returns a UUIDv7 of the bubble's time. The uuid library never lets the time of its UUIDs decrease, but the
// clock goes back from one bubble to the next.
func newKey() string {
	id := uuid.New()
	millis := uint64(time.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

// outcomeOf returns the outcome that an error states.
func outcomeOf(err error) ospreymoorv1.Outcome {
	answer, ok := err.(*connect.Error)
	if !ok {
		return ospreymoorv1.Outcome_OUTCOME_UNSPECIFIED
	}
	for _, detail := range answer.Details() {
		if value, err := detail.Value(); err == nil {
			if r, ok := value.(*ospreymoorv1.Refusal); ok {
				return r.GetOutcome()
			}
		}
	}
	return ospreymoorv1.Outcome_OUTCOME_UNSPECIFIED
}

// eventLog collects the events of concurrent goroutines.
type eventLog[T any] struct {
	mu     sync.Mutex
	events []T
}

func (l *eventLog[T]) add(event T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
}

func (l *eventLog[T]) all() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events)
}

var _ = Describe("A fleet in a synctest bubble", func() {
	It("serves a whole answer", func() {
		withFleet(fleetSpec{halls: 2, boxes: 2, engines: 2, memory: 64 * gib}, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "a", "10GiB", "writer"))
			t.awaitModels("writer")
			text, err := t.complete(context.Background(), t.boxes["h2-b2"], &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: "x", MaxTokens: 9})
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(Equal(strings.Join(standin.Answer("acme/writer@a", "", "x", 9), "")))
		})
	})
})
