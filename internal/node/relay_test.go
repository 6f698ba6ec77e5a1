package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// largeFleet is a fleet of more boxes than exchange in a full mesh, in halls of ten.
type largeFleet struct {
	nodes      []*Node
	stops      []context.CancelFunc
	stopped    sync.WaitGroup
	watchCalls atomic.Int64
}

const boxesPerHall = 10

func nodeName(n int) string { return fmt.Sprintf("n%02d", n) }

// withLargeFleet runs f in a bubble, on a large fleet with a number of halls.
func withLargeFleet(halls int, f func(*largeFleet)) {
	spectest.Bubble(func() {
		fleet := startLargeFleet(halls)
		defer func() {
			for _, stop := range fleet.stops {
				stop()
			}
			fleet.stopped.Wait()
			time.Sleep(time.Minute) // Work that was started for a term of the order lease ends with it.
		}()
		f(fleet)
	})
}

func startLargeFleet(halls int) *largeFleet {
	f := &largeFleet{}
	network := &spectest.Network{}
	memory := kv.NewMemory().Store()
	store := memory
	store.Watch = func(ctx context.Context, options kv.WatchOptions) (<-chan []kv.Event, error) {
		f.watchCalls.Add(1)
		return pollingWatch(ctx, memory, options)
	}
	put := func(key, value string) {
		_, err := memory.Swap(context.Background(), kv.Swap{Key: key, Value: []byte(value)})
		Expect(err).NotTo(HaveOccurred())
	}
	put("config", "1")
	put("servers/e1", "e1")
	for n := range halls * boxesPerHall {
		address := nodeName(n) + ":1"
		listener := network.Listen(address)
		node := New(testConfig(nodeName(n), fmt.Sprint("z", n/boxesPerHall), address, store, network.Dial))
		ctx, stop := context.WithCancel(context.Background())
		f.nodes = append(f.nodes, node)
		f.stops = append(f.stops, stop)
		f.stopped.Go(func() {
			node.Run(ctx, listener)
			_ = listener.Close()
		})
	}
	return f
}

// pollingWatch returns a watch that, like the platform's, also answers a poll without changes, with an empty batch.
func pollingWatch(ctx context.Context, store kv.Store, options kv.WatchOptions) (<-chan []kv.Event, error) {
	changes, err := store.Watch(ctx, options)
	if err != nil {
		return nil, err
	}
	answers := make(chan []kv.Event)
	go func() {
		defer close(answers)
		for {
			wait, ok := options.NextPoll(ctx)
			if !ok {
				return
			}
			var batch []kv.Event
			select {
			case batch, ok = <-changes:
				if !ok {
					return
				}
			case <-time.After(max(wait, 1)): // See pause.For.
			case <-ctx.Done():
				return
			}
			select {
			case answers <- batch:
			case <-ctx.Done():
				return
			}
		}
	}()
	return answers, nil
}

// linkedWatch returns a pollingWatch over a link: each batch arrives once deliver has returned, and the watch ends if
// that fails.
func linkedWatch(ctx context.Context, store kv.Store, options kv.WatchOptions, deliver func([]kv.Event) error) (<-chan []kv.Event, error) {
	batches, err := pollingWatch(ctx, store, options)
	if err != nil {
		return nil, err
	}
	received := make(chan []kv.Event)
	go func() {
		defer close(received)
		for batch := range batches {
			if deliver(batch) != nil {
				return
			}
			select {
			case received <- batch:
			case <-ctx.Done():
				return
			}
		}
	}()
	return received, nil
}

// relays returns the names of the boxes that act as relays.
func (f *largeFleet) relays() []string {
	var names []string
	for n, node := range f.nodes {
		if !node.exchange.Members.FollowsRelay() {
			names = append(names, nodeName(n))
		}
	}
	return names
}

// runningAt returns how many requests each box believes an engine to be running.
func (f *largeFleet) runningAt(engine string) []int {
	counts := make([]int, len(f.nodes))
	for i, node := range f.nodes {
		counts[i] = node.Gateway.Loads.Total(engine).Running
	}
	return counts
}

// begin records on a node that a request runs at an engine, until the ticket ends.
func (f *largeFleet) begin(node int, engine string) *dispatch.Ticket {
	choice := dispatch.Choice{Upstream: &fleet.State{Upstream: &fleet.Upstream{ID: engine}}}
	return f.nodes[node].Gateway.Loads.Begin(choice, dispatch.Requirements{Service: "s"})
}

var _ = Describe("a large fleet", func() {
	It("has one relay per hall, and every box knows how many requests all boxes are running", func() {
		withLargeFleet(2, func(f *largeFleet) {
			Eventually(f.relays).WithTimeout(8 * time.Second).Should(Equal([]string{"n00", "n10"}))
			everywhere := func(count int) []int {
				counts := make([]int, len(f.nodes))
				for i := range counts {
					counts[i] = count
				}
				return counts
			}
			var tickets []*dispatch.Ticket
			for _, node := range []int{0, 3, 3, 10, 17} {
				tickets = append(tickets, f.begin(node, "e1"))
			}
			Eventually(func() []int { return f.runningAt("e1") }).WithTimeout(3 * time.Second).Should(Equal(everywhere(5)))
			Consistently(func() []int { return f.runningAt("e1") }).WithTimeout(time.Second).Should(Equal(everywhere(5)))
			for _, ticket := range tickets[1:] {
				ticket.End()
			}
			Eventually(func() []int { return f.runningAt("e1") }).WithTimeout(3 * time.Second).Should(Equal(everywhere(1)))
			By("polling the store from a few boxes only")
			before := f.watchCalls.Load()
			time.Sleep(time.Second)
			Expect(f.watchCalls.Load() - before).To(BeNumerically("<", 3))
			By("losing a relay")
			f.stops[10]()
			Eventually(func() bool { return f.nodes[11].exchange.Members.FollowsRelay() }).WithTimeout(5 * time.Second).Should(BeFalse())
			lost := f.begin(15, "e1")
			Eventually(func() int { return f.nodes[4].Gateway.Loads.Total("e1").Running }).WithTimeout(5 * time.Second).Should(Equal(2))
			Eventually(func() int { return f.nodes[19].Gateway.Loads.Total("e1").Running }).WithTimeout(5 * time.Second).Should(Equal(2))
			lost.End()
		})
	})
})
