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

const orderGap = 400 * time.Millisecond

func TestOrderLease(t *testing.T) { spectest.Run(t, "Order lease") }

// takeover is a handover, the store it is on, and whether the former holder's address is known.
type takeover struct {
	*handover
	store kv.Store
	known *atomic.Bool
}

// formerActsFor is how long the former holder may act after a renewal in these specs.
const formerActsFor = 300 * time.Millisecond

// newTakeover returns the handover from a box that gave orders to the one after it, which calls the
// former one by dial.
func newTakeover(dial func(ctx context.Context, network, address string) (net.Conn, error)) *takeover {
	next := &takeover{store: kv.NewMemory().Store(), known: &atomic.Bool{}}
	next.known.Store(true)
	next.record("old")
	next.handover = newHandover(Config{
		Name: "new", Store: next.store, OrderGap: orderGap, Log: zap.NewNop(),
		Peers: Peers{AddressOf: func(name string) (string, bool) {
			return formerAddress, name == "old" && next.known.Load()
		}},
		Client: peer.NewClient("", dial, metrics.NewSet()),
	}, formerActsFor)
	return next
}

const formerAddress = "127.0.0.1:1"

// record puts a box into the store as the last that gave orders.
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

// begunNow reports whether orders may be given under term 7, once all has been done that takes no
// time.
func (t *takeover) begunNow() bool {
	synctest.Wait()
	return t.done(7)
}

// takeOver runs f on a takeover in a bubble, on a network in memory where calls take no time. The
// former holder answers a yield call by answer; no process of it lives if that is nil.
func takeOver(answer func(yieldRequest) yieldAnswer, f func(next *takeover)) {
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
			next.changed(0)
			next.client.Close()
			server.Close()
			time.Sleep(10 * time.Second) // What was begun for a term ends with it.
		}()
		f(next)
	})
}

var _ = Describe("a new holder of the order lease", func() {
	It("waits engine by engine once the former one has yielded", func() {
		var asked yieldRequest
		answer := func(request yieldRequest) yieldAnswer {
			asked = request
			return yieldAnswer{Ages: map[string]time.Duration{"e1": 0, "e2": time.Hour}, Others: 2 * time.Hour}
		}
		takeOver(answer, func(next *takeover) {
			begun := time.Now()
			next.changed(7)
			Expect(next.begunNow()).To(BeTrue())
			Expect(asked).To(Equal(yieldRequest{Term: 7, To: "new"}))
			Expect(next.notBefore("e1")).To(Equal(begun.Add(orderGap)))
			Expect(next.notBefore("e2")).To(Equal(begun.Add(orderGap - time.Hour)))
			Expect(next.notBefore("e3")).To(Equal(begun.Add(orderGap - 2*time.Hour)))
			record, err := next.store.Get(context.Background(), lastHolderKey)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(record.Value)).To(ContainSubstring("new"))
		})
	})

	It("waits for the order gap when no process of the former one lives", func() {
		takeOver(nil, func(next *takeover) {
			begun := time.Now()
			next.changed(7)
			Expect(next.begunNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(Equal(begun.Add(orderGap)))
		})
	})

	It("knows by a connection that the operating system refuses that no process of the former one lives", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		dialer := net.Dialer{}
		next := newTakeover(func(ctx context.Context, network, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, listener.Addr().String())
		})
		next.actsFor = time.Hour // Nothing but the refusal ends the wait.
		var before, after time.Time
		var found waits
		Eventually(func() bool {
			before = time.Now()
			known := false
			found, known = next.waitsAfter(context.Background(), 7, "old", before)
			after = time.Now()
			return known
		}).WithTimeout(time.Minute).Should(BeTrue())
		Expect(found.others).To(BeTemporally(">=", before.Add(orderGap)))
		Expect(found.others).To(BeTemporally("<=", after.Add(orderGap)))
		Expect(found.byEngine).To(BeEmpty())
	})

	It("waits out the former one's lease and the order gap when it can't be asked", func() {
		takeOver(nil, func(next *takeover) {
			next.known.Store(false)
			begun := time.Now()
			next.changed(7)
			time.Sleep(formerActsFor + orderGap)
			Expect(next.begunNow()).To(BeFalse())
			time.Sleep(tryPause)
			Expect(next.begunNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(Equal(begun.Add(formerActsFor + orderGap)))
		})
	})

	It("begins as soon as the former one can be asked after all", func() {
		answer := func(yieldRequest) yieldAnswer {
			return yieldAnswer{Ages: map[string]time.Duration{}, Others: time.Hour}
		}
		takeOver(answer, func(next *takeover) {
			next.actsFor = time.Hour
			next.known.Store(false)
			next.changed(7)
			time.Sleep(10*tryPause + time.Millisecond)
			Expect(next.begunNow()).To(BeFalse())
			next.known.Store(true)
			time.Sleep(tryPause)
			Expect(next.begunNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(BeTemporally("<=", time.Now()))
		})
	})

	It("begins at once when it was the last to give orders itself, also after a restart", func() {
		takeOver(nil, func(next *takeover) {
			next.changed(6)
			time.Sleep(orderGap + time.Millisecond)
			next.changed(0)
			next.changed(7)
			Expect(next.begunNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(BeTemporally("<=", time.Now()))
			restarted := newHandover(Config{Name: "new", Store: next.store, OrderGap: orderGap, Log: zap.NewNop()}, formerActsFor)
			restarted.changed(8)
			synctest.Wait()
			Expect(restarted.done(8)).To(BeTrue())
			Expect(restarted.notBefore("any")).To(BeTemporally("<=", time.Now()))
			restarted.changed(0)
		})
	})

	It("passes on the waits that it is under itself", func() {
		spectest.Bubble(func() {
			next := newHandover(Config{Name: "new", OrderGap: orderGap, Log: zap.NewNop()}, 300*time.Millisecond)
			next.started = time.Now().Add(-time.Hour)
			next.waits.byEngine = map[string]time.Time{"e1": time.Now().Add(orderGap / 2)}
			answer := next.lastOrders(map[string]time.Duration{"e2": time.Millisecond})
			Expect(answer.Ages["e1"]).To(Equal(orderGap / 2))
			Expect(answer.Ages["e2"]).To(Equal(time.Millisecond))
			Expect(answer.Others).To(BeNumerically(">", orderGap))
		})
	})

	It("waits in full when the record of the last order holder is unreadable, and logs that once", func() {
		takeOver(nil, func(next *takeover) {
			next.recordBytes([]byte("{"))
			core, logged := observer.New(zap.WarnLevel)
			next.log = zap.New(core)
			begun := time.Now()
			next.changed(7)
			time.Sleep(formerActsFor + orderGap)
			Expect(next.begunNow()).To(BeFalse())
			time.Sleep(tryPause)
			Expect(next.begunNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(Equal(begun.Add(formerActsFor + orderGap)))
			Expect(logged.Len()).To(Equal(1))
			Expect(logged.All()[0].Message).To(ContainSubstring("last order holder unreadable"))
		})
	})

	It("keeps the waits when the answer to the record of its name is lost", func() {
		takeOver(nil, func(next *takeover) {
			lost := false
			next.handover.store.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
				record, err := next.store.Swap(ctx, swap)
				if !lost {
					lost = true
					return kv.Record{}, kv.ErrUnknown
				}
				return record, err
			}
			begun := time.Now()
			next.changed(7)
			Expect(next.begunNow()).To(BeFalse())
			Expect(lost).To(BeTrue())
			time.Sleep(tryPause)
			Expect(next.begunNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(Equal(begun.Add(orderGap)))
		})
	})

	It("keeps the waits when its process is killed after the record of its name and starts again", func() {
		takeOver(nil, func(next *takeover) {
			begun := time.Now()
			next.changed(7)
			Expect(next.begunNow()).To(BeTrue())
			Expect(next.notBefore("any")).To(Equal(begun.Add(orderGap)))
			time.Sleep(orderGap / 4)
			restarted := newHandover(Config{Name: "new", Store: next.store, OrderGap: orderGap, Log: zap.NewNop()}, formerActsFor)
			restarted.changed(8)
			synctest.Wait()
			Expect(restarted.notBefore("any")).To(BeTemporally(">=", begun.Add(orderGap)))
			restarted.changed(0)
		})
	})

	It("forgets a term that was lost meanwhile", func() {
		takeOver(nil, func(next *takeover) {
			next.changed(7)
			next.changed(0)
			for range 100 {
				Expect(next.begunNow()).To(BeFalse())
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
		Expect([]string{methodYield, methodRevoke, leaseKey, lastHolderKey}).
			To(Equal([]string{"yield", "revoke", "leases/orders", "leases/last-order-holder"}))
	})
})
