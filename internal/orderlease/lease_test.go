package orderlease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// contender is a box on a store that can be cut off from it.
type contender struct {
	*Lease
	cutOff, lostByAll, leaving atomic.Bool
	state                      atomic.Pointer[mirror.State]
}

func contend(ctx context.Context, store kv.Store) *contender {
	c := &contender{}
	c.state.Store(&mirror.State{Revision: 1})
	cut := store
	cut.Renew = func(ctx context.Context, id kv.LeaseID) error {
		if c.cutOff.Load() {
			return kv.ErrUnavailable
		}
		return store.Renew(ctx, id)
	}
	unknown := func() (string, bool) { return "", false }
	c.Lease = New(Config{
		Name: "b", Store: cut, TTL: 3 * time.Second, OrderGap: time.Second, Log: zap.NewNop(),
		Peers: Peers{
			AddressOf:      func(string) (string, bool) { return "", false },
			ReachesStore:   unknown,
			StoreLostByAll: c.lostByAll.Load,
			FollowsRelay:   func() bool { return false },
		},
		State:   func() mirror.State { return *c.state.Load() },
		Leaving: c.leaving.Load,
	})
	go c.Run(ctx)
	return c
}

// inBubble runs f on a lease in a bubble of its own time.
func inBubble(f func(c *contender, store kv.Store)) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		store := kv.NewMemory().Store()
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second) // What was begun for a term ends with it.
		}()
		f(contend(ctx, store), store)
	})
}

var _ = Describe("the order lease", func() {
	It("allows orders once it is held and the former holder's time is over", func() {
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

	It("ends orders a quarter of its time before it runs out, unless no box reaches the store", func() {
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

	It("is not contended for while another box holds it, the store is unknown or this box leaves", func() {
		inBubble(func(c *contender, _ kv.Store) {
			Expect(c.mayBeFree()).To(BeTrue())
			c.leaving.Store(true)
			Expect(c.mayBeFree()).To(BeFalse())
			c.leaving.Store(false)
			c.state.Store(&mirror.State{})
			Expect(c.mayBeFree()).To(BeFalse())
			held := func(name string) *mirror.State {
				return &mirror.State{Revision: 2, Records: map[string]kv.Record{leaseKey: {Key: leaseKey, Value: []byte(name)}}}
			}
			c.state.Store(held("other"))
			Expect(c.mayBeFree()).To(BeFalse())
			c.state.Store(held("b"))
			Expect(c.mayBeFree()).To(BeTrue())
		})
	})

	It("stops this box's orders at a yield call, and reports the ages of its last ones", func() {
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
