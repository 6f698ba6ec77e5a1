package node

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

const (
	// pageRecords is how many records one page of the store holds, and pageTime how long the store's link takes to
	// send it.
	pageRecords = 500
	pageTime    = 3 * time.Millisecond
)

const ciStartBoxes = 60

// startBoxes is how many boxes start together in the spec of their watches; CI uses ciStartBoxes.
var startBoxes = flag.Int("start-boxes", ciStartBoxes, "how many boxes start together while thousands of upstreams join")

// pagedStore is a store that answers in pages, over one link that all boxes share.
type pagedStore struct {
	memory kv.Store
	pages  atomic.Int64
	// watched counts the records that watches delivered.
	watched atomic.Int64
	// writeTime is how long a write of a box takes.
	writeTime time.Duration
	// link is a semaphore that is held while a page is sent. It is a channel since a goroutine that waits for a mutex
	// would stop the bubble's clock.
	link chan struct{}
}

// store returns the store for one box. It adds to watched the records that the box's watches deliver.
func (s *pagedStore) store(watched *atomic.Int64) kv.Store {
	store := s.memory
	store.Watch = func(ctx context.Context, options kv.WatchOptions) (<-chan []kv.Event, error) {
		return linkedWatch(ctx, s.memory, options, func(batch []kv.Event) error {
			s.watched.Add(int64(len(batch)))
			watched.Add(int64(len(batch)))
			return s.send(ctx, len(batch))
		})
	}
	store.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
		if err := pause.For(ctx, s.writeTime); err != nil {
			return kv.Record{}, err
		}
		return s.memory.Swap(ctx, swap)
	}
	store.Snapshot = func(ctx context.Context, prefix string) (kv.Snapshot, error) {
		snapshot, _, err := s.snapshotWithin(ctx, prefix, 1<<30)
		return snapshot, err
	}
	store.SnapshotWithin = s.snapshotWithin
	return store
}

// send keeps the link busy for as long as a number of records take.
func (s *pagedStore) send(ctx context.Context, records int) error {
	select {
	case s.link <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.link }()
	return pause.For(ctx, pageTime*time.Duration(records)/pageRecords)
}

// snapshotWithin reads a prefix page by page. It stops incomplete once it has read more than most records.
func (s *pagedStore) snapshotWithin(ctx context.Context, prefix string, most int) (snapshot kv.Snapshot, complete bool, err error) {
	all, err := s.memory.Snapshot(ctx, prefix)
	if err != nil {
		return kv.Snapshot{}, false, err
	}
	snapshot = kv.Snapshot{Revision: all.Revision}
	for {
		s.link <- struct{}{}
		err := pause.For(ctx, pageTime)
		<-s.link
		if err != nil {
			return kv.Snapshot{}, false, err
		}
		s.pages.Add(1)
		from := len(snapshot.Records)
		snapshot.Records = append(snapshot.Records, all.Records[from:min(len(all.Records), from+pageRecords)]...)
		if len(snapshot.Records) == len(all.Records) {
			return snapshot, true, nil
		}
		if len(snapshot.Records) > most {
			return snapshot, false, nil
		}
	}
}

// startedFleet is a fleet of boxes that start together, with a store that has many upstreams.
type startedFleet struct {
	paged     *pagedStore
	nodes     []*Node
	stops     []context.CancelFunc
	stopped   sync.WaitGroup
	boxes     int
	begun     time.Time
	network   spectest.Network
	seedsDown bool
	// joinTime is the time, from the start of the boxes, within which the upstreams join. 0 means that they joined
	// before.
	joinTime time.Duration
	// bytesPerSecond is the rate of each box's link; 0 means no bound.
	bytesPerSecond int64
	// writeTime is how long a write of a box takes.
	writeTime time.Duration
	links     map[string]*spectest.Link
	// lines holds the log lines of all boxes with their names, and watchedBy how many records the watches of each
	// delivered.
	lines     *observer.ObservedLogs
	logTo     zapcore.Core
	watchedBy []atomic.Int64
	// longestSilence is the longest time in which the store answered no box, since a box first had a copy of it.
	longestSilence time.Duration
}

// dial returns the dial function of a box, which connects over the boxes' links if their rate is bounded.
func (f *startedFleet) dial(address string) dialFunc {
	if f.bytesPerSecond == 0 {
		return f.network.Dial
	}
	if f.links == nil {
		f.links = map[string]*spectest.Link{}
		for n := range f.boxes {
			f.links[smallBoxAddress(n)] = spectest.NewLink(f.bytesPerSecond)
		}
	}
	return f.links[address].Dial(&f.network, func(to string) *spectest.Link { return f.links[to] })
}

// run starts the boxes and waits, for a minute at most, until all are ready and know all upstreams. It returns how
// many pages were read from the store, and how long it took.
func (f *startedFleet) run(boxes, upstreams int, seedsDown bool) (pages int64, took time.Duration) {
	spectest.Bubble(func() {
		f.boxes, f.seedsDown = boxes, seedsDown
		f.watchedBy = make([]atomic.Int64, boxes)
		f.logTo, f.lines = observer.New(zap.InfoLevel)
		memory := kv.NewMemory().Store()
		put := func(key string) {
			_, err := memory.Swap(context.Background(), kv.Swap{Key: key, Value: []byte(key)})
			Expect(err).NotTo(HaveOccurred())
		}
		put("config")
		join := func(from, to int) {
			for n := from; n < to; n++ {
				put(fmt.Sprintf("servers/e%05d", n))
			}
		}
		if f.joinTime == 0 {
			join(0, upstreams)
		}
		f.paged = &pagedStore{memory: memory, writeTime: f.writeTime, link: make(chan struct{}, 1)}
		begun := time.Now()
		f.begun = begun
		for n := range boxes {
			f.start(n)
		}
		if f.joinTime > 0 {
			const rounds = 60
			go func() {
				for round := range rounds {
					join(upstreams*round/rounds, upstreams*(round+1)/rounds)
					time.Sleep(f.joinTime / rounds)
				}
			}()
		}
		ready := func() bool {
			for _, node := range f.nodes {
				if !node.Ready() || len(node.Gateway.Directory.OfService("s")) != upstreams {
					return false
				}
			}
			return true
		}
		for !ready() && time.Since(begun) < time.Minute {
			time.Sleep(50 * time.Millisecond)
			f.longestSilence = max(f.longestSilence, f.sinceAnswer())
		}
		pages, took = f.paged.pages.Load(), time.Since(begun)
		for _, stop := range f.stops {
			stop()
		}
		f.stopped.Wait()
		time.Sleep(time.Minute) // Work that was started for a term of the order lease ends with it.
	})
	return pages, took
}

// sinceAnswer returns how long ago the store last answered any box, or -1 if it answered none.
func (f *startedFleet) sinceAnswer() (least time.Duration) {
	least = -1
	for _, node := range f.nodes {
		if age := node.view.Mirror().StoreAge(); age >= 0 && (least < 0 || age < least) {
			least = age
		}
	}
	return least
}

func (f *startedFleet) start(n int) {
	address := smallBoxAddress(n)
	config := testConfig(smallBoxName(n), fmt.Sprint("z", n%4), address, f.paged.store(&f.watchedBy[n]), f.dial(address))
	config.Log = zap.New(f.logTo).With(zap.String("box", smallBoxName(n)))
	for k := range min(3, f.boxes) {
		seed := smallBoxAddress(k)
		if f.seedsDown {
			seed = fmt.Sprint("gone", k, ":1")
		}
		config.Seeds = append(config.Seeds, seed)
	}
	config.Platform.DecodeUpstream = func(record kv.Record) (fleet.Upstream, error) {
		return fleet.Upstream{ID: record.Key, Service: "s", Hall: "h", Address: record.Key, Revision: record.Revision}, nil
	}
	node := New(config)
	listener := f.network.Listen(address)
	ctx, stop := context.WithCancel(context.Background())
	f.nodes = append(f.nodes, node)
	f.stops = append(f.stops, stop)
	f.stopped.Go(func() {
		node.Run(ctx, listener)
		_ = listener.Close()
	})
}

// writeFollowers writes to the spec's output how many records each box's watches delivered, and when and why boxes
// began and ceased to follow the store themselves.
func (f *startedFleet) writeFollowers() {
	for n := range f.watchedBy {
		GinkgoWriter.Printf("%s: %d records by watches\n", smallBoxName(n), f.watchedBy[n].Load())
	}
	for _, message := range []string{"store followed", "store left to other boxes"} {
		for _, line := range f.lines.FilterMessage(message).All() {
			GinkgoWriter.Printf("%v %s %v\n", line.Time.Sub(f.begun), message, line.ContextMap())
		}
	}
}

// These specs guard against starts that overload the store. When each starting box read the whole store, 986 boxes
// with 10,002 upstreams caused 21,700 calls, and 3 GB over the store's link.
var _ = Describe("boxes that start together", func() {
	const upstreams = 4000 // Nine pages.

	It("read a large store as often as few boxes do, and all have it within seconds", func() {
		sizes := []int{30, 60}
		if raceDetector {
			sizes = []int{18}
		}
		for _, boxes := range sizes {
			pages, took := new(startedFleet).run(boxes, upstreams, false)
			GinkgoWriter.Printf("%d boxes: %d pages read, all ready after %v\n", boxes, pages, took)
			// Three seeds read the whole store, the others two pages. A tenth may have waited for a copy that did not come.
			Expect(pages).To(BeNumerically("<=", 2*boxes+(3+boxes/10)*10))
			Expect(took).To(BeNumerically("<", 5*time.Second))
		}
	})

	DescribeTable("leave it to a few to follow the store while thousands of upstreams join", func(bytesPerSecond int64) {
		boxes := *startBoxes
		if raceDetector {
			boxes = 24
		}
		// The data that a relay sends grows with the size of its hall.
		rate := bytesPerSecond * int64(max(boxes, ciStartBoxes)) / ciStartBoxes
		fleet := &startedFleet{joinTime: 3 * time.Second, bytesPerSecond: rate}
		_, took := fleet.run(boxes, upstreams, false)
		watched := fleet.paged.watched.Load()
		fleet.writeFollowers()
		GinkgoWriter.Printf("%d boxes: %d records by watches, all up to date after %v\n", boxes, watched, took)
		// No more than the relays of four halls, the order holder and the seeds follow the store.
		Expect(watched).To(BeNumerically("<", 8*upstreams))
		Expect(took).To(BeNumerically("<", 6*time.Second))
	},
		Entry("over fast links", int64(0)),
		Entry("over links that exchanges nearly fill", int64(500_000)),
	)

	It("always have a few of them poll the store", func() {
		// No box is listed yet when the first ones read the store.
		fleet := &startedFleet{joinTime: 3 * time.Second, bytesPerSecond: 500_000, writeTime: 300 * time.Millisecond}
		fleet.run(24, upstreams, false)
		GinkgoWriter.Printf("no answer of the store for %v\n", fleet.longestSilence)
		// Twice the time for which a box that watches the store for all boxes gathers changes.
		Expect(fleet.longestSilence).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("read a large store themselves if no seed is up, a few of them first", func() {
		boxes := 40
		if raceDetector {
			boxes = 18
		}
		pages, took := new(startedFleet).run(boxes, upstreams, true)
		GinkgoWriter.Printf("%d boxes, no seed: %d pages read, all ready after %v\n", boxes, pages, took)
		Expect(took).To(BeNumerically("<", 12*time.Second))
		Expect(pages).To(BeNumerically("<", int64(boxes*9)))
	})

	It("each read a small store themselves at once", func() {
		pages, took := new(startedFleet).run(7, 40, false)
		Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		Expect(pages).To(BeNumerically("<=", 2*7))
	})
})
