package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

const (
	// smallLink is the rate of a small box, in bytes per second: a link of 10 Mbit/s, combined with a fifth of a core
	// that decodes JSON at 7 MB/s (416 KB take 12 ms of a whole core).
	smallLink = 1e6
	// storeTimeout is the longest time until an answer of the store begins, and storeTransferTimeout until it ends, as
	// in platform/store.go.
	storeTimeout         = 1500 * time.Millisecond
	storeTransferTimeout = 15 * time.Second
)

// entryPadding begins the padding that makes an upstream's entry as long as the platform's entries.
const entryPadding = "|"

// smallFleetSize is the size of a fleet that has small boxes only.
type smallFleetSize struct {
	boxes, halls, upstreams int
}

// spareLinks is how many more boxes may be started later.
const spareLinks = 3

// raceDetector is set if the specs run with the race detector. They run with raceSize then, since the race detector's
// runtime itself failed once at their full size. CI runs them at full size without it.
var raceDetector bool

// raceSize is the size of a small fleet that still has relays.
var raceSize = smallFleetSize{boxes: 18, halls: 2, upstreams: 64}

// smallBoxes is a fleet whose boxes all have a slow link. It records when each box learns of a change.
type smallBoxes struct {
	size    smallFleetSize
	service *kv.Memory
	memory  kv.Store
	nodes   []*Node
	// prepare, if not nil, changes each box before it runs.
	prepare func(*Node)
	running sync.WaitGroup
	// stop ends the boxes that withPreparedBoxes started.
	stop    context.CancelFunc
	network spectest.Network
	// links holds the boxes' links by address.
	links map[string]*spectest.Link
	// storeDown means that the store answers no box.
	storeDown atomic.Bool
	calls     storeCalls
	// snapshotWork is the processor time that the store takes for a snapshot, which snapshots share, and snapshotting how
	// many it makes now.
	snapshotWork atomic.Int64
	snapshotting atomic.Int64
	// storeBytes is what the store's answers took on the boxes' links.
	storeBytes atomic.Int64

	mu sync.Mutex
	// written is when the store took a change, by the change's name. known is when a box learned of it, by the
	// change's name and the box's.
	written map[string]time.Time
	known   map[string]map[string]time.Time
}

func smallBoxName(n int) string    { return fmt.Sprintf("n%03d", n) }
func smallBoxAddress(n int) string { return smallBoxName(n) + ":1" }
func upstreamName(n int) string    { return fmt.Sprintf("e%03d", n) }

// withSmallBoxes runs f in a bubble, on a fleet of small boxes that report a running request for each upstream.
func withSmallBoxes(size smallFleetSize, f func(*smallBoxes)) {
	withPreparedBoxes(size, nil, f)
}

// withPreparedBoxes is withSmallBoxes with a change of each box before it runs.
func withPreparedBoxes(size smallFleetSize, prepare func(*Node), f func(*smallBoxes)) {
	if raceDetector && size.boxes > raceSize.boxes {
		size = raceSize
	}
	spectest.Bubble(func() {
		s := newSmallBoxes(size)
		s.prepare = prepare
		ctx, stop := context.WithCancel(context.Background())
		s.stop = stop
		for n := range size.boxes {
			s.start(ctx, n)
		}
		s.serveRequests(ctx)
		defer func() {
			stop()
			s.running.Wait()
			time.Sleep(time.Minute) // Work that was started for a term of the order lease ends with it.
		}()
		time.Sleep(8 * time.Second) // Until each hall's relay is known.
		f(s)
	})
}

// newSmallBoxes returns a fleet without boxes yet, whose store has a configuration and all upstreams.
func newSmallBoxes(size smallFleetSize) *smallBoxes {
	service := kv.NewMemory()
	s := &smallBoxes{
		size: size, service: service, memory: service.Store(), links: map[string]*spectest.Link{},
		written: map[string]time.Time{}, known: map[string]map[string]time.Time{},
	}
	for n := range size.boxes + spareLinks {
		s.links[smallBoxAddress(n)] = spectest.NewLink(smallLink)
	}
	s.put("config", configText(1, 50))
	for n := range size.upstreams {
		s.put("servers/"+upstreamName(n), upstreamName(n))
	}
	return s
}

// start runs a box until ctx ends. Its decoders record which changes it learned of.
func (s *smallBoxes) start(ctx context.Context, n int) {
	name, address := smallBoxName(n), smallBoxAddress(n)
	link := s.links[address]
	dial := link.Dial(&s.network, func(to string) *spectest.Link { return s.links[to] })
	config := testConfig(name, fmt.Sprint("z", n%s.size.halls), address, s.calls.countingStore(s.storeOverLink(link)), dial)
	config.LinkBytesPerSecond = smallLink
	config.Platform.DecodeTable = func(records map[string]kv.Record) (*routes.Table, error) {
		version := versionOf(records["config"].Value)
		s.recordKnown(fmt.Sprint("version ", version), name)
		return routes.New(version, nil, nil, routes.Limits{}), nil
	}
	config.Platform.DecodeUpstream = func(record kv.Record) (fleet.Upstream, error) {
		entry, _, _ := strings.Cut(string(record.Value), entryPadding)
		id, state, _ := strings.Cut(entry, " ")
		if state != "" {
			s.recordKnown(id+" leaves", name)
		}
		return fleet.Upstream{ID: id, Service: "s", Leaving: state != "", Revision: record.Revision}, nil
	}
	node := New(config)
	if s.prepare != nil {
		s.prepare(node)
	}
	s.nodes = append(s.nodes, node)
	listener := s.network.Listen(address)
	s.running.Go(func() {
		node.Run(ctx, listener)
		_ = listener.Close()
	})
}

// serveRequests records a running request for each upstream, and makes each box record outcomes of requests until
// ctx ends.
func (s *smallBoxes) serveRequests(ctx context.Context) {
	for n := range s.size.upstreams {
		choice := dispatch.Choice{Upstream: &fleet.State{Upstream: &fleet.Upstream{ID: upstreamName(n)}}}
		s.nodes[n%s.size.boxes].Gateway.Loads.Begin(choice, dispatch.Requirements{Service: "s"})
	}
	for n, node := range s.nodes {
		s.running.Go(func() { recordOutcomes(ctx, node, n, s.size.upstreams) })
	}
}

// recordOutcomes makes a box record 8 outcomes of requests per second until ctx ends, about as many as a box has at
// the size designed for.
func recordOutcomes(ctx context.Context, node *Node, n, upstreams int) {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	for pause.For(ctx, 125*time.Millisecond) == nil {
		node.Gateway.Loads.RecordOutcome(upstreamName(random.IntN(upstreams)), true)
	}
}

// configText returns a configuration with a number of routes, as long and as varied as the platform's.
func configText(version int64, count int) string {
	type route struct {
		Name, Host, PathPrefix, Kind, Service string
		TimeoutMs, TargetLatencyMs, Priority  int
		MaxAttempts, GapTargetMs              int
		Sticky, Resumable                     bool
	}
	random := rand.New(rand.NewPCG(1, 2))
	message := struct {
		Version int64
		Routes  []route
	}{Version: version}
	for range count {
		message.Routes = append(message.Routes, route{
			Name: fmt.Sprintf("r-%07x", random.Uint32()), Host: "customer.example", PathPrefix: fmt.Sprintf("/%08x/", random.Uint32()),
			Kind: "stream", Service: "engines", TimeoutMs: 5000, TargetLatencyMs: 800, Priority: 1, MaxAttempts: 2, GapTargetMs: 500, Sticky: true,
		})
	}
	text, err := json.Marshal(message)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

func versionOf(config []byte) int64 {
	var message struct{ Version int64 }
	Expect(json.Unmarshal(config, &message)).To(Succeed())
	return message.Version
}

// storeOverLink returns the store for a box: answers arrive over the box's link, and calls fail while the store is
// down.
func (s *smallBoxes) storeOverLink(link *spectest.Link) kv.Store {
	var known atomic.Int64 // The epoch that the store's answers to the box named.
	receive := func(ctx context.Context, bytes int) error {
		if s.storeDown.Load() {
			_ = pause.For(ctx, storeTimeout) // The call fails either way.
			return kv.ErrUnavailable
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTransferTimeout)
		defer cancel()
		const base64Factor = 4.0 / 3
		s.storeBytes.Add(int64(float64(bytes) * base64Factor))
		known.Store(s.service.Epoch())
		if link.Receive(callCtx, int(float64(bytes)*base64Factor)) != nil {
			return kv.ErrUnavailable
		}
		return nil
	}
	store := s.memory
	store.Epoch = known.Load
	store.Snapshot = func(ctx context.Context, prefix string) (kv.Snapshot, error) {
		if s.snapshotWork.Load() > 0 && !s.makeSnapshot(ctx) {
			return kv.Snapshot{}, kv.ErrUnavailable
		}
		snapshot, err := s.memory.Snapshot(ctx, prefix)
		if err != nil {
			return kv.Snapshot{}, err
		}
		bytes := 0
		for _, record := range snapshot.Records {
			bytes += len(record.Value)
		}
		return snapshot, receive(ctx, bytes)
	}
	store.Get = func(ctx context.Context, key string) (kv.Record, error) {
		record, err := s.memory.Get(ctx, key)
		if received := receive(ctx, len(record.Value)); received != nil {
			return kv.Record{}, received
		}
		return record, err
	}
	store.Watch = func(ctx context.Context, options kv.WatchOptions) (<-chan []kv.Event, error) {
		return linkedWatch(ctx, s.memory, options, func(batch []kv.Event) error {
			bytes := 0
			for _, event := range batch {
				bytes += len(event.Record.Value)
			}
			return receive(ctx, bytes)
		})
	}
	return store
}

// makeSnapshot takes the store's processor time for a snapshot, also if the box that asked for it gives up. It reports
// whether the answer begins in time.
func (s *smallBoxes) makeSnapshot(ctx context.Context) bool {
	const steps = 30
	made := make(chan struct{})
	s.running.Go(func() {
		defer close(made)
		s.snapshotting.Add(1)
		defer s.snapshotting.Add(-1)
		for range steps {
			time.Sleep(time.Duration(s.snapshotWork.Load() / steps * s.snapshotting.Load()))
		}
	})
	ctx, cancel := context.WithTimeout(ctx, kv.AnswerTimeout(ctx, storeTimeout))
	defer cancel()
	select {
	case <-made:
		return true
	case <-ctx.Done():
		return false
	}
}

// put writes a record.
func (s *smallBoxes) put(key, value string) {
	current, err := s.memory.Get(context.Background(), key)
	if err != nil {
		Expect(err).To(MatchError(kv.ErrNotFound))
	}
	_, err = s.memory.Swap(context.Background(), kv.Swap{Key: key, Revision: current.Revision, Value: []byte(value)})
	Expect(err).NotTo(HaveOccurred())
}

// change writes a record and stores the time under the change's name.
func (s *smallBoxes) change(name, key, value string) {
	s.changeAsOf(time.Now(), name, key, value)
}

// changeAsOf writes a record and stores at as the time of the change.
func (s *smallBoxes) changeAsOf(at time.Time, name, key, value string) {
	s.put(key, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[name] = at
}

// recordKnown records when a box first knew of a change.
func (s *smallBoxes) recordKnown(change, box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[change] == nil {
		s.known[change] = map[string]time.Time{}
	}
	if _, ok := s.known[change][box]; !ok {
		s.known[change][box] = time.Now()
	}
}

// longestDelay returns the longest time from the write of a change whose name contains text until a box knew of it.
// A box that knows a newer version of the configuration knows the older ones. A box that never knew counts as an
// hour.
func (s *smallBoxes) longestDelay(text string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := time.Duration(0)
	for name, at := range s.written {
		if !strings.Contains(name, text) {
			continue
		}
		for n := range s.nodes {
			longest = max(longest, s.knownAt(name, smallBoxName(n)).Sub(at))
		}
	}
	return longest
}

// knownAt returns when a box knew of a change, or of a later version of the configuration. The caller holds s.mu.
func (s *smallBoxes) knownAt(change, box string) time.Time {
	at := time.Now().Add(time.Hour)
	var version int64
	_, _ = fmt.Sscanf(change, "version %d", &version)
	for name, boxes := range s.known {
		var other int64
		_, _ = fmt.Sscanf(name, "version %d", &other)
		known, ok := boxes[box]
		if ok && (name == change || version > 0 && other >= version) && known.Before(at) {
			at = known
		}
	}
	return at
}
