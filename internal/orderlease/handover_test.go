package orderlease

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

const testOrderGap = 400 * time.Millisecond

func TestOrderLease(t *testing.T) { spectest.Run(t, "Order lease") }

// takeover is the handover to a new holder, with its store and whether the former holder's address is known.
type takeover struct {
	*handover
	store kv.Store
	known *atomic.Bool
}

// formerMaxActing is how long the former holder may act after a renewal in these specs.
const formerMaxActing = 300 * time.Millisecond

// newTakeover returns the handover from the box "old", which gave orders last, to the box "new", which calls the
// former holder by dial.
func newTakeover(dial func(ctx context.Context, network, address string) (net.Conn, error)) *takeover {
	next := &takeover{store: kv.NewMemory().Store(), known: &atomic.Bool{}}
	next.known.Store(true)
	next.record("old")
	next.handover = newHandover(Config{
		Name: "new", Store: next.store, OrderGap: testOrderGap, Log: zap.NewNop(),
		Peers: Peers{AddressOf: func(name string) (string, bool) {
			return formerAddress, name == "old" && next.known.Load()
		}},
		Client: peer.NewClient("", dial, metrics.NewSet()),
	}, formerMaxActing)
	return next
}

const formerAddress = "127.0.0.1:1"

// record writes a box into the store as the last that gave orders.
func (t *takeover) record(name string) {
	value, err := json.Marshal(holderRecord{Name: name})
	Expect(err).NotTo(HaveOccurred())
	t.recordBytes(value)
}

func (t *takeover) recordBytes(value []byte) {
	current, err := t.store.Get(context.Background(), lastHolderKey)
	Expect(err).To(Or(BeNil(), MatchError(kv.ErrNotFound)))
	_, err = t.store.Swap(context.Background(), kv.Swap{Key: lastHolderKey, Revision: current.Revision, Value: value})
	Expect(err).NotTo(HaveOccurred())
}

// mayOrderNow reports whether orders may be given under term 7, once every goroutine of the bubble is blocked.
func (t *takeover) mayOrderNow() bool {
	synctest.Wait()
	return t.mayOrder(7)
}

// inTakeover runs f on a takeover in a bubble, on a network in memory where calls take no time. The former holder
// answers a yield call by answer; if answer is nil, no process of the former holder is running.
func inTakeover(answer func(yieldRequest) yieldAnswer, f func(next *takeover)) {
	spectest.Bubble(func() {
		network := &spectest.Network{}
		next := newTakeover(network.Dial)
		server := peer.NewServer("", metrics.NewSet())
		if answer != nil {
			peer.Handle(server, methodYield, func(_ context.Context, request yieldRequest) (yieldAnswer, error) {
				return answer(request), nil
			})
			listener := network.Listen(formerAddress)
			defer listener.Close()
			go server.Serve(listener)
		}
		defer func() {
			next.leaseChanged(0)
			next.client.Close()
			server.Close()
			time.Sleep(10 * time.Second) // Goroutines started for a term end meanwhile.
		}()
		f(next)
	})
}

var _ = Describe("a new holder of the order lease", func() {
	It("waits for each engine by its last order once the former holder has answered the yield call", func() {
		var asked yieldRequest
		answer := func(request yieldRequest) yieldAnswer {
			asked = request
			return yieldAnswer{Ages: map[string]time.Duration{"e1": 0, "e2": time.Hour}, Others: 2 * time.Hour}
		}
		inTakeover(answer, func(next *takeover) {
			start := time.Now()
			next.leaseChanged(7)
			Expect(next.mayOrderNow()).To(BeTrue())
			Expect(asked).To(Equal(yieldRequest{Term: 7, To: "new"}))
			Expect(next.notBefore("e1")).To(Equal(start.Add(testOrderGap)))
			Expect(next.notBefore("e2")).To(Equal(start.Add(testOrderGap - time.Hour)))
			Expect(next.notBefore("e3")).To(Equal(start.Add(testOrderGap - 2*time.Hour)))
			record, err := next.store.Get(context.Background(), lastHolderKey)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(record.Value)).To(ContainSubstring("new"))
		})
	})

	It("waits for the order gap when no process of the former holder is running", func() {
		inTakeover(nil, func(next *takeover) {
			start := time.Now()
			next.leaseChanged(7)
			Expect(next.mayOrderNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(Equal(start.Add(testOrderGap)))
		})
	})

	It("takes a connection that the operating system refuses as proof that no process of the former holder is running", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		dialer := net.Dialer{}
		next := newTakeover(func(ctx context.Context, network, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, listener.Addr().String())
		})
		next.maxActing = time.Hour // Only the refused connection ends the wait.
		var before, after time.Time
		var found waitEnds
		Eventually(func() bool {
			before = time.Now()
			known := false
			term := int64(7)
			found, known = next.waitEndsAfter(context.Background(), &term, holderRecord{Name: "old"}, false, before)
			after = time.Now()
			return known
		}).WithTimeout(time.Minute).Should(BeTrue())
		Expect(found.others).To(BeTemporally(">=", before.Add(testOrderGap)))
		Expect(found.others).To(BeTemporally("<=", after.Add(testOrderGap)))
		Expect(found.byEngine).To(BeEmpty())
	})

	It("waits for the end of the former holder's lease and the order gap when it can't be asked", func() {
		inTakeover(nil, func(next *takeover) {
			next.known.Store(false)
			start := time.Now()
			next.leaseChanged(7)
			time.Sleep(formerMaxActing + testOrderGap)
			Expect(next.mayOrderNow()).To(BeFalse())
			time.Sleep(retryPause)
			Expect(next.mayOrderNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(Equal(start.Add(formerMaxActing + testOrderGap)))
		})
	})

	It("may give orders as soon as the former holder can be asked after all", func() {
		answer := func(yieldRequest) yieldAnswer {
			return yieldAnswer{Ages: map[string]time.Duration{}, Others: time.Hour}
		}
		inTakeover(answer, func(next *takeover) {
			next.maxActing = time.Hour
			next.known.Store(false)
			next.leaseChanged(7)
			time.Sleep(10*retryPause + time.Millisecond)
			Expect(next.mayOrderNow()).To(BeFalse())
			next.known.Store(true)
			time.Sleep(retryPause)
			Expect(next.mayOrderNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(BeTemporally("<=", time.Now()))
		})
	})

	It("may give orders at once when it was the last to give orders itself, also after a restart", func() {
		inTakeover(nil, func(next *takeover) {
			next.leaseChanged(6)
			time.Sleep(testOrderGap + time.Millisecond)
			next.leaseChanged(0)
			next.leaseChanged(7)
			Expect(next.mayOrderNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(BeTemporally("<=", time.Now()))
			restarted := newHandover(Config{Name: "new", Store: next.store, OrderGap: testOrderGap, Log: zap.NewNop()}, formerMaxActing)
			restarted.leaseChanged(8)
			synctest.Wait()
			Expect(restarted.mayOrder(8)).To(BeTrue())
			Expect(restarted.notBefore("any")).To(BeTemporally("<=", time.Now()))
			restarted.leaseChanged(0)
		})
	})

	It("does not take over from a holder that wrote its name after this box gained the lease", func() {
		inTakeover(nil, func(next *takeover) {
			next.lease.gainedAt = func() int64 { return 1 }
			next.leaseChanged(7)
			time.Sleep(time.Second)
			Expect(next.mayOrderNow()).To(BeFalse())
		})
	})

	It("includes the waits that still apply to itself in its answer to a yield call", func() {
		spectest.Bubble(func() {
			next := newHandover(Config{Name: "new", OrderGap: testOrderGap, Log: zap.NewNop()}, 300*time.Millisecond)
			next.started = time.Now().Add(-time.Hour)
			next.waitEnds.byEngine = map[string]time.Time{"e1": time.Now().Add(testOrderGap / 2)}
			answer := next.lastOrders(map[string]time.Duration{"e2": time.Millisecond})
			Expect(answer.Ages["e1"]).To(Equal(testOrderGap / 2))
			Expect(answer.Ages["e2"]).To(Equal(time.Millisecond))
			Expect(answer.Others).To(BeNumerically(">", testOrderGap))
		})
	})

	// A box that gave an engine orders long ago and took over again from another holder still waits for that one's orders.
	It("reports no age of its own earlier orders that hides those of a later holder", func() {
		spectest.Bubble(func() {
			next := newHandover(Config{Name: "new", OrderGap: testOrderGap, Log: zap.NewNop()}, 300*time.Millisecond)
			next.started = time.Now().Add(-time.Hour)
			next.waitEnds = waitEnds{others: time.Now().Add(testOrderGap / 2)}
			answer := next.lastOrders(map[string]time.Duration{"e1": time.Minute, "e2": time.Millisecond})
			Expect(answer.Ages["e1"]).To(Equal(testOrderGap / 2))
			Expect(answer.Ages["e2"]).To(Equal(time.Millisecond))
			Expect(answer.Others).To(Equal(testOrderGap / 2))
		})
	})

	It("waits as for a box that can't be asked when the record of the last order holder is unreadable, and logs that once", func() {
		inTakeover(nil, func(next *takeover) {
			next.recordBytes([]byte("{"))
			core, logged := observer.New(zap.WarnLevel)
			next.log = zap.New(core)
			start := time.Now()
			next.leaseChanged(7)
			time.Sleep(formerMaxActing + testOrderGap)
			Expect(next.mayOrderNow()).To(BeFalse())
			time.Sleep(retryPause)
			Expect(next.mayOrderNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(Equal(start.Add(formerMaxActing + testOrderGap)))
			Expect(logged.Len()).To(Equal(1))
			Expect(logged.All()[0].Message).To(ContainSubstring("last order holder unreadable"))
		})
	})

	It("keeps the waits when the answer to the write of its name is lost", func() {
		inTakeover(nil, func(next *takeover) {
			lost := false
			next.handover.store.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
				record, err := next.store.Swap(ctx, swap)
				if !lost {
					lost = true
					return kv.Record{}, kv.ErrUnknown
				}
				return record, err
			}
			start := time.Now()
			next.leaseChanged(7)
			Expect(next.mayOrderNow()).To(BeFalse())
			Expect(lost).To(BeTrue())
			time.Sleep(retryPause)
			Expect(next.mayOrderNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(Equal(start.Add(testOrderGap)))
		})
	})

	It("keeps the waits when its process is killed after the write of its name and restarts", func() {
		inTakeover(nil, func(next *takeover) {
			start := time.Now()
			next.leaseChanged(7)
			Expect(next.mayOrderNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(Equal(start.Add(testOrderGap)))
			time.Sleep(testOrderGap / 4)
			restarted := newHandover(Config{Name: "new", Store: next.store, OrderGap: testOrderGap, Log: zap.NewNop()}, formerMaxActing)
			restarted.leaseChanged(8)
			synctest.Wait()
			Expect(restarted.notBefore("any")).To(BeTemporally(">=", start.Add(testOrderGap)))
			restarted.leaseChanged(0)
		})
	})

	It("never allows orders under a term that was lost during the handover", func() {
		inTakeover(nil, func(next *takeover) {
			next.leaseChanged(7)
			next.leaseChanged(0)
			for range 100 {
				Expect(next.mayOrderNow()).To(BeFalse())
				time.Sleep(100 * time.Millisecond)
			}
		})
	})
})

var _ = Describe("messages of the order lease", func() {
	It("keep their form", func() {
		asJSON := func(value any) string {
			text, err := json.Marshal(value)
			Expect(err).NotTo(HaveOccurred())
			return string(text)
		}
		Expect(asJSON(yieldRequest{Term: 1, To: "x"})).To(Equal(`{"term":1,"to":"x"}`))
		Expect(asJSON(yieldAnswer{})).To(Equal(`{"ages":null,"others":0}`))
		Expect(asJSON(yieldAnswer{Ages: map[string]time.Duration{"e": 1}, Others: 2})).To(Equal(`{"ages":{"e":1},"others":2}`))
		Expect(asJSON(revokeRequest{Lease: 3})).To(Equal(`{"lease":3}`))
		Expect(asJSON(holderRecord{Name: "x"})).To(Equal(`{"name":"x"}`))
		Expect(asJSON(holderRecord{Name: "x", Settled: true})).To(Equal(`{"name":"x","settled":true}`))
		Expect(asJSON(holderRecord{Name: "x", Term: 7, Epoch: 2})).To(Equal(`{"name":"x","term":7,"epoch":2}`))
		Expect(asJSON(yieldAnswer{Term: 7})).To(Equal(`{"ages":null,"others":0,"term":7}`))
		Expect(asJSON(revokeRequest{Lease: 3, Epoch: 2})).To(Equal(`{"lease":3,"epoch":2}`))
		Expect([]string{methodYield, methodRevoke, leaseKey, lastHolderKey}).
			To(Equal([]string{"yield", "revoke", "leases/orders", "leases/last-order-holder"}))
	})
})
