package node

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// storeCalls counts a fleet's calls of the store by kind. Each poll of a watch is a call.
type storeCalls struct {
	polls, snapshots, gets, swaps, grants, revokes atomic.Int64
}

// countingStore returns the store with its calls counted in c.
func (c *storeCalls) countingStore(store kv.Store) kv.Store {
	counted := store
	counted.Get = func(ctx context.Context, key string) (kv.Record, error) {
		c.gets.Add(1)
		return store.Get(ctx, key)
	}
	counted.Snapshot = func(ctx context.Context, prefix string) (kv.Snapshot, error) {
		c.snapshots.Add(1)
		return store.Snapshot(ctx, prefix)
	}
	counted.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
		c.swaps.Add(1)
		return store.Swap(ctx, swap)
	}
	counted.Grant = func(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
		c.grants.Add(1)
		return store.Grant(ctx, ttl)
	}
	counted.Revoke = func(ctx context.Context, id kv.LeaseID) error {
		c.revokes.Add(1)
		return store.Revoke(ctx, id)
	}
	counted.Watch = func(ctx context.Context, options kv.WatchOptions) (<-chan []kv.Event, error) {
		next := options.Next
		options.Next = func(ctx context.Context) (time.Duration, bool) {
			wait, ok := next(ctx)
			if ok {
				c.polls.Add(1)
			}
			return wait, ok
		}
		return store.Watch(ctx, options)
	}
	return counted
}

// total returns the number of all calls.
func (c *storeCalls) total() int64 {
	return c.polls.Load() + c.snapshots.Load() + c.gets.Load() + c.swaps.Load() + c.grants.Load() + c.revokes.Load()
}

func (c *storeCalls) String() string {
	return fmt.Sprintf("%d calls: %d polls, %d snapshots, %d gets, %d swaps, %d grants, %d revokes", c.total(),
		c.polls.Load(), c.snapshots.Load(), c.gets.Load(), c.swaps.Load(), c.grants.Load(), c.revokes.Load())
}

// changeUpstreams writes entries of upstreams for a duration and at a rate, as engines do that load and unload
// models. The entries are entryBytes long.
func (s *smallBoxes) changeUpstreams(duration time.Duration, perSecond int) {
	const entryBytes = 600
	begun := time.Now()
	for n := 0; time.Since(begun) < duration; n++ {
		id := upstreamName(n % s.size.upstreams)
		s.put("servers/"+id, id+entryPadding+strings.Repeat("m", entryBytes))
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// storeCallsSize is the specs' fleet, and changeTime is how long upstreams change. Under the race detector both are
// as small as relays allow, since its runtime itself fails the sooner the more it tracks. CI runs the specs in full
// without it.
var storeCallsSize, changeTime = smallFleetSize{boxes: 86, halls: 4, upstreams: 64}, 6 * time.Second

var _ = Describe("the store of a large fleet", func() {
	// 34 loads a second, each with an unload, make 70 changes a second. The entries changed between two exchanges, of
	// which there are four a second, are longer than an answer to an exchange can hold.
	It("is polled by a few boxes while the entries of many upstreams change", func() {
		withSmallBoxes(storeCallsSize, func(s *smallBoxes) {
			before := s.calls.polls.Load()
			s.changeUpstreams(changeTime, 70)
			polled := s.calls.polls.Load() - before
			GinkgoWriter.Printf("%d polls in %s\n", polled, changeTime)
			// The order holder gathers changes for 0.15 s and two watching boxes for 0.25 s, and each asks ahead; one poll of
			// every second other box is room for those whose relay is late.
			const pollsPerSecond = 7 + 2*5
			Expect(polled).To(BeNumerically("<=", int(changeTime.Seconds())*pollsPerSecond+len(s.nodes)/2))
		})
	})

	It("is called a few times by each box that starts", func() {
		withSmallBoxes(storeCallsSize, func(s *smallBoxes) {
			GinkgoWriter.Println(&s.calls)
			// A snapshot, a poll, a grant and a swap each; and in 8 s five polls a second of the three boxes that watch.
			const callsEach, watching = 4, 8 * 3 * 5
			Expect(s.calls.total()).To(BeNumerically("<=", callsEach*len(s.nodes)+watching), s.calls.String())
		})
	})
})
