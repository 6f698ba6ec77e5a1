package gateway

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

const turnTime = 400 * time.Millisecond

// knownGuard is a guard, and whether the address of the machine that gave orders before is known.
type knownGuard struct {
	*turnGuard
	known *atomic.Bool
}

// formerHolder is another machine that gave orders, and the guard of the one after it.
func formerHolder(answer func(yieldRequest) yieldAnswer) (*knownGuard, kv.Store) {
	store := kv.NewMemory().Store()
	value, err := json.Marshal(lastHolder{Name: "old"})
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
	config := Config{Name: "new", TurnTime: turnTime, Log: zap.NewNop(), Platform: Platform{Store: store}}
	guard := &knownGuard{newTurnGuard(config, 300*time.Millisecond, addressOf, peer.NewClient("", dialer.DialContext, set)), known}
	if answer == nil {
		Expect(listener.Close()).To(Succeed())
		return guard, store
	}
	server := peer.NewServer("", set)
	peer.Handle(server, methodYield, func(_ context.Context, request yieldRequest) (yieldAnswer, error) {
		return answer(request), nil
	})
	go server.Serve(listener)
	DeferCleanup(func() { _ = listener.Close(); server.Close() })
	return guard, store
}

var _ = Describe("a new holder of the order lease", func() {
	It("waits engine by engine once the former one has yielded", func() {
		var asked yieldRequest
		guard, store := formerHolder(func(request yieldRequest) yieldAnswer {
			asked = request
			return yieldAnswer{Ages: map[string]time.Duration{"e1": 0, "e2": time.Hour}, Others: time.Hour}
		})
		guard.changed(7)
		Eventually(func() bool { return guard.isOpen(7) }).Should(BeTrue())
		Expect(asked).To(Equal(yieldRequest{Term: 7, To: "new"}))
		Expect(time.Until(guard.notBefore("e1"))).To(BeNumerically("~", turnTime, 100*time.Millisecond))
		Expect(guard.notBefore("e2")).To(BeTemporally("<", time.Now()))
		Expect(guard.notBefore("e3")).To(BeTemporally("<", time.Now()))
		record, err := store.Get(context.Background(), lastHolderKey)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(record.Value)).To(ContainSubstring("new"))
	})

	It("waits a turn when no process of the former one lives", func() {
		guard, _ := formerHolder(nil)
		guard.changed(7)
		Eventually(func() bool { return guard.isOpen(7) }).Should(BeTrue())
		Expect(time.Until(guard.notBefore("any"))).To(BeNumerically("~", turnTime, 100*time.Millisecond))
	})

	It("waits out the former one's lease and a turn when it can't be asked", func() {
		guard, _ := formerHolder(nil)
		guard.known.Store(false)
		begun := time.Now()
		guard.changed(7)
		Consistently(func() bool { return guard.isOpen(7) }).WithTimeout(500 * time.Millisecond).Should(BeFalse())
		Eventually(func() bool { return guard.isOpen(7) }).WithTimeout(2 * time.Second).Should(BeTrue())
		Expect(time.Now()).To(BeTemporally(">=", begun.Add(300*time.Millisecond+turnTime)))
		Expect(guard.notBefore("any")).To(BeTemporally(">=", begun.Add(300*time.Millisecond+turnTime)))
	})

	It("begins as soon as the former one can be asked after all", func() {
		guard, _ := formerHolder(func(yieldRequest) yieldAnswer {
			return yieldAnswer{Ages: map[string]time.Duration{}, Others: time.Hour}
		})
		guard.held = time.Hour
		guard.known.Store(false)
		guard.changed(7)
		Consistently(func() bool { return guard.isOpen(7) }).WithTimeout(300 * time.Millisecond).Should(BeFalse())
		guard.known.Store(true)
		Eventually(func() bool { return guard.isOpen(7) }).WithTimeout(2 * time.Second).Should(BeTrue())
		Expect(guard.notBefore("any")).To(BeTemporally("<=", time.Now()))
	})

	It("begins at once when it was the last to give orders itself", func() {
		guard, store := formerHolder(nil)
		value, err := json.Marshal(lastHolder{Name: "new"})
		Expect(err).NotTo(HaveOccurred())
		record, err := store.Get(context.Background(), lastHolderKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Swap(context.Background(), kv.Swap{Key: lastHolderKey, Revision: record.Revision, Value: value})
		Expect(err).NotTo(HaveOccurred())
		guard.changed(7)
		Eventually(func() bool { return guard.isOpen(7) }).Should(BeTrue())
		Expect(guard.notBefore("any")).To(BeTemporally("<=", time.Now()))
	})

	It("passes on the waits that it is under itself", func() {
		guard, _ := formerHolder(nil)
		guard.started = time.Now().Add(-time.Hour)
		guard.from = map[string]time.Time{"e1": time.Now().Add(turnTime / 2)}
		answer := guard.lastOrders(map[string]time.Duration{"e2": time.Millisecond})
		Expect(answer.Ages["e1"]).To(BeNumerically("~", turnTime/2, 50*time.Millisecond))
		Expect(answer.Ages["e2"]).To(Equal(time.Millisecond))
		Expect(answer.Others).To(BeNumerically(">", turnTime))
	})

	It("forgets a term that was lost meanwhile", func() {
		guard, _ := formerHolder(nil)
		guard.changed(7)
		guard.changed(0)
		Consistently(func() bool { return guard.isOpen(7) }).WithTimeout(200 * time.Millisecond).Should(BeFalse())
	})
})
