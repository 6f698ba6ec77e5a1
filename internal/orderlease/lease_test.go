package orderlease

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/mirror/mirrortest"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// contender is a box with an order lease, on a store from which it can be cut off.
type contender struct {
	*Lease
	cutOff, lostByAll, leaving, otherReaches atomic.Bool
	unlisted, follows                        atomic.Bool
	// withoutLinks is for how long, in nanoseconds, the box has reached no engine.
	withoutLinks atomic.Int64
	state        atomic.Pointer[mirror.State]
}

// newContender starts a contender whose Lease runs until ctx ends.
func newContender(ctx context.Context, store kv.Store) *contender {
	c := &contender{}
	c.state.Store(&mirror.State{Revision: 1})
	cut := store
	cut.Get = func(ctx context.Context, key string) (kv.Record, error) {
		if c.cutOff.Load() {
			return kv.Record{}, kv.ErrUnavailable
		}
		return store.Get(ctx, key)
	}
	cut.Renew = func(ctx context.Context, id kv.LeaseID) error {
		if c.cutOff.Load() {
			return kv.ErrUnavailable
		}
		return store.Renew(ctx, id)
	}
	noDial := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no network") }
	c.Lease = New(Config{
		Name: "b", Store: cut, TTL: 3 * time.Second, OrderGap: time.Second, Log: zap.NewNop(),
		Peers: Peers{
			AddressOf:      func(string) (string, bool) { return "", false },
			ReachesStore:   func() (string, bool) { return "c:1", c.otherReaches.Load() },
			StoreLostByAll: c.lostByAll.Load,
			Listed:         func() bool { return !c.unlisted.Load() },
			FollowsRelay:   c.follows.Load,
		},
		Client:  peer.NewClient("", noDial, metrics.NewSet()),
		State:   func() mirror.State { return *c.state.Load() },
		Leaving: c.leaving.Load,
		CutOff:  func() time.Duration { return time.Duration(c.withoutLinks.Load()) },
	})
	go c.Run(ctx)
	go c.ResignWhenCutOff(ctx)
	return c
}

// inBubble runs f on a contender and its store in a bubble with its own clock.
func inBubble(f func(c *contender, store kv.Store)) {
	spectest.Bubble(func() {
		store := kv.NewMemory().Store()
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second) // Goroutines started for a term end meanwhile.
		}()
		f(newContender(ctx, store), store)
	})
}

var _ = Describe("the order lease", func() {
	It("allows orders once it is held and the orders of a former holder can no longer arrive", func() {
		inBubble(func(c *contender, _ kv.Store) {
			time.Sleep(time.Second)
			Expect(c.Held()).To(BeTrue())
			_, err := c.Term()
			Expect(err).To(MatchError(residency.ErrWaiting))
			time.Sleep(3 * time.Second)
			_, err = c.Term()
			Expect(err).NotTo(HaveOccurred())
		})
	})

	It("ends orders a quarter of the TTL before it expires, unless no box reaches the store", func() {
		inBubble(func(c *contender, _ kv.Store) {
			time.Sleep(5 * time.Second)
			term, err := c.Term()
			Expect(err).NotTo(HaveOccurred())
			c.cutOff.Store(true)
			time.Sleep(2300 * time.Millisecond)
			_, err = c.Term()
			Expect(err).To(MatchError(residency.ErrNotHolder))
			c.lostByAll.Store(true)
			Expect(c.Term()).To(Equal(term))
		})
	})

	It("is given up for others by a box that reaches no engine for a second, and not contended for before it does", func() {
		inBubble(func(c *contender, store kv.Store) {
			time.Sleep(5 * time.Second)
			Expect(c.Held()).To(BeTrue())
			c.withoutLinks.Store(int64(900 * time.Millisecond))
			time.Sleep(time.Second)
			Expect(c.Held()).To(BeTrue(), "a short cut is not worth a handover")
			c.withoutLinks.Store(int64(time.Second))
			time.Sleep(500 * time.Millisecond)
			Expect(c.Held()).To(BeFalse())
			_, err := c.Term()
			Expect(err).To(MatchError(residency.ErrNotHolder))
			_, err = store.Get(context.Background(), leaseKey)
			Expect(err).To(MatchError(kv.ErrNotFound))
			time.Sleep(5 * time.Second)
			Expect(c.Held()).To(BeFalse())
			c.withoutLinks.Store(0)
			time.Sleep(5 * time.Second)
			Expect(c.Held()).To(BeTrue())
		})
	})

	It("is not contended for while another box holds it, there is no copy of the store or this box is leaving", func() {
		inBubble(func(c *contender, _ kv.Store) {
			Expect(c.mayBeFree()).To(BeTrue())
			c.leaving.Store(true)
			Expect(c.mayBeFree()).To(BeFalse())
			c.leaving.Store(false)
			c.state.Store(&mirror.State{})
			Expect(c.mayBeFree()).To(BeFalse())
			held := func(name string) *mirror.State {
				return &mirror.State{Revision: 2, Records: mirrortest.Records(kv.Record{Key: leaseKey, Value: []byte(name)})}
			}
			c.state.Store(held("other"))
			Expect(c.mayBeFree()).To(BeFalse())
			c.state.Store(held("b"))
			Expect(c.mayBeFree()).To(BeTrue())
		})
	})

	It("is contended for at random times, later by boxes that follow a relay and not by one that the store does not list", func() {
		inBubble(func(c *contender, _ kv.Store) {
			free := mirror.State{Revision: 1}
			held := mirror.State{Revision: 2, Records: mirrortest.Records(kv.Record{Key: leaseKey, Value: []byte("another")})}
			waitToContend := func() time.Duration {
				c.Observe(held)
				start := time.Now()
				c.Observe(free)
				for !c.mayContend() && time.Since(start) < time.Minute {
					time.Sleep(time.Millisecond)
				}
				return time.Since(start)
			}
			for range 20 {
				Expect(waitToContend()).To(BeNumerically("<=", contendJitter))
			}
			c.follows.Store(true)
			for range 20 {
				Expect(waitToContend()).To(And(BeNumerically(">=", followerDelay), BeNumerically("<=", followerDelay+followerJitter)))
			}
			c.unlisted.Store(true)
			Expect(waitToContend()).To(Equal(time.Minute))
		})
	})

	It("is resigned when it can't be renewed and another box reaches the store, and kept when none does", func() {
		inBubble(func(c *contender, _ kv.Store) {
			time.Sleep(5 * time.Second)
			c.cutOff.Store(true)
			time.Sleep(resignAfter + resignCheckInterval)
			Expect(c.lease.Status().Term).NotTo(BeZero())
			c.otherReaches.Store(true)
			time.Sleep(2 * resignCheckInterval)
			Expect(c.lease.Status().Term).To(BeZero())
		})
	})

	It("is revoked in the store for a box that does not reach it", func() {
		store := kv.NewMemory().Store()
		id, err := store.Grant(context.Background(), time.Minute)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Swap(context.Background(), kv.Swap{Key: leaseKey, Value: []byte("b"), Lease: id})
		Expect(err).NotTo(HaveOccurred())
		l := New(Config{Name: "c", Store: store, TTL: 3 * time.Second, Log: zap.NewNop()})
		_, err = l.handleRevoke(context.Background(), revokeRequest{Lease: id.Number, Epoch: id.Epoch})
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Get(context.Background(), leaseKey)
		Expect(err).To(MatchError(kv.ErrNotFound))
	})

	It("ends this box's orders at a yield call, and reports the ages of the last ones", func() {
		inBubble(func(c *contender, _ kv.Store) {
			time.Sleep(5 * time.Second)
			term, err := c.Term()
			Expect(err).NotTo(HaveOccurred())
			answer := c.yield(yieldRequest{Term: term + 1, To: "c"}, func() map[string]time.Duration {
				return map[string]time.Duration{"e": time.Millisecond}
			})
			Expect(answer.Ages).To(HaveKeyWithValue("e", time.Millisecond))
			_, err = c.Term()
			Expect(err).To(MatchError(residency.ErrNotHolder))
		})
	})
})
