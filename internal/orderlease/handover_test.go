package orderlease

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
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

// takeover is a handover, and whether the former holder's address is known.
type takeover struct {
	*handover
	known *atomic.Bool
}

// formerHolder is another box that gave orders, and the handover to the one after it.
func formerHolder(answer func(yieldRequest) yieldAnswer) (*takeover, kv.Store) {
	store := kv.NewMemory().Store()
	value, err := json.Marshal(holderRecord{Name: "old"})
	Expect(err).NotTo(HaveOccurred())
	_, err = store.Swap(context.Background(), kv.Swap{Key: lastHolderKey, Value: value})
	Expect(err).NotTo(HaveOccurred())
	set := metrics.NewSet()
	dialer := net.Dialer{Timeout: 200 * time.Millisecond}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	known := &atomic.Bool{}
	known.Store(true)
	addressOf := func(name string) (string, bool) { return listener.Addr().String(), name == "old" && known.Load() }
	config := Config{
		Name: "new", Store: store, OrderGap: orderGap, Peers: Peers{AddressOf: addressOf},
		Client: peer.NewClient("", dialer.DialContext, set), Log: zap.NewNop(),
	}
	next := &takeover{newHandover(config, 300*time.Millisecond), known}
	if answer == nil {
		Expect(listener.Close()).To(Succeed())
		return next, store
	}
	server := peer.NewServer("", set)
	peer.Handle(server, methodYield, func(_ context.Context, request yieldRequest) (yieldAnswer, error) {
		return answer(request), nil
	})
	go server.Serve(listener)
	DeferCleanup(func() { _ = listener.Close(); server.Close() })
	return next, store
}

var _ = Describe("a new holder of the order lease", func() {
	It("waits engine by engine once the former one has yielded", func() {
		var asked yieldRequest
		next, store := formerHolder(func(request yieldRequest) yieldAnswer {
			asked = request
			return yieldAnswer{Ages: map[string]time.Duration{"e1": 0, "e2": time.Hour}, Others: time.Hour}
		})
		next.changed(7)
		Eventually(func() bool { return next.done(7) }).Should(BeTrue())
		Expect(asked).To(Equal(yieldRequest{Term: 7, To: "new"}))
		Expect(time.Until(next.notBefore("e1"))).To(BeNumerically("~", orderGap, 100*time.Millisecond))
		Expect(next.notBefore("e2")).To(BeTemporally("<", time.Now()))
		Expect(next.notBefore("e3")).To(BeTemporally("<", time.Now()))
		record, err := store.Get(context.Background(), lastHolderKey)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(record.Value)).To(ContainSubstring("new"))
	})

	It("waits for the order gap when no process of the former one lives", func() {
		next, _ := formerHolder(nil)
		next.changed(7)
		Eventually(func() bool { return next.done(7) }).Should(BeTrue())
		Expect(time.Until(next.notBefore("any"))).To(BeNumerically("~", orderGap, 100*time.Millisecond))
	})

	It("waits out the former one's lease and the order gap when it can't be asked", func() {
		next, _ := formerHolder(nil)
		next.known.Store(false)
		begun := time.Now()
		next.changed(7)
		Consistently(func() bool { return next.done(7) }).WithTimeout(500 * time.Millisecond).Should(BeFalse())
		Eventually(func() bool { return next.done(7) }).WithTimeout(2 * time.Second).Should(BeTrue())
		Expect(time.Now()).To(BeTemporally(">=", begun.Add(300*time.Millisecond+orderGap)))
		Expect(next.notBefore("any")).To(BeTemporally(">=", begun.Add(300*time.Millisecond+orderGap)))
	})

	It("begins as soon as the former one can be asked after all", func() {
		next, _ := formerHolder(func(yieldRequest) yieldAnswer {
			return yieldAnswer{Ages: map[string]time.Duration{}, Others: time.Hour}
		})
		next.actsFor = time.Hour
		next.known.Store(false)
		next.changed(7)
		Consistently(func() bool { return next.done(7) }).WithTimeout(300 * time.Millisecond).Should(BeFalse())
		next.known.Store(true)
		Eventually(func() bool { return next.done(7) }).WithTimeout(2 * time.Second).Should(BeTrue())
		Expect(next.notBefore("any")).To(BeTemporally("<=", time.Now()))
	})

	It("begins at once when it was the last to give orders itself", func() {
		next, store := formerHolder(nil)
		value, err := json.Marshal(holderRecord{Name: "new"})
		Expect(err).NotTo(HaveOccurred())
		record, err := store.Get(context.Background(), lastHolderKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Swap(context.Background(), kv.Swap{Key: lastHolderKey, Revision: record.Revision, Value: value})
		Expect(err).NotTo(HaveOccurred())
		next.changed(7)
		Eventually(func() bool { return next.done(7) }).Should(BeTrue())
		Expect(next.notBefore("any")).To(BeTemporally("<=", time.Now()))
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
		next, store := formerHolder(nil)
		record, err := store.Get(context.Background(), lastHolderKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Swap(context.Background(), kv.Swap{Key: lastHolderKey, Revision: record.Revision, Value: []byte("{")})
		Expect(err).NotTo(HaveOccurred())
		core, logged := observer.New(zap.WarnLevel)
		next.log = zap.New(core)
		begun := time.Now()
		next.changed(7)
		Eventually(func() bool { return next.done(7) }).WithTimeout(2 * time.Second).Should(BeTrue())
		Expect(time.Now()).To(BeTemporally(">=", begun.Add(300*time.Millisecond+orderGap)))
		Expect(logged.Len()).To(Equal(1))
		Expect(logged.All()[0].Message).To(ContainSubstring("last order holder unreadable"))
	})

	It("keeps the waits when the answer to the record of its name is lost", func() {
		next, store := formerHolder(nil)
		lost := false
		next.store.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
			record, err := store.Swap(ctx, swap)
			if !lost {
				lost = true
				return kv.Record{}, kv.ErrUnknown
			}
			return record, err
		}
		begun := time.Now()
		next.changed(7)
		Eventually(func() bool { return next.done(7) }).WithTimeout(2 * time.Second).Should(BeTrue())
		Expect(lost).To(BeTrue())
		Expect(next.notBefore("any")).To(BeTemporally(">=", begun.Add(orderGap)))
	})

	It("forgets a term that was lost meanwhile", func() {
		next, _ := formerHolder(nil)
		next.changed(7)
		next.changed(0)
		Consistently(func() bool { return next.done(7) }).WithTimeout(200 * time.Millisecond).Should(BeFalse())
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
		Expect([]string{methodYield, methodRevoke, leaseKey, lastHolderKey}).
			To(Equal([]string{"yield", "revoke", "leases/orders", "leases/last-order-holder"}))
	})
})
