package node

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// startBox runs one box on a store in memory with a configuration and an upstream.
func startBox(before func(*Node)) (*Node, kv.Store) {
	store := kv.NewMemory().Store()
	for _, key := range []string{"config", "servers/e1"} {
		_, err := store.Swap(context.Background(), kv.Swap{Key: key, Value: []byte("e1")})
		Expect(err).NotTo(HaveOccurred())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	box := New(testConfig("b", "h", listener.Addr().String(), store))
	Expect(box.Ready()).To(BeFalse())
	before(box)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		box.Run(ctx, listener)
	}()
	DeferCleanup(func() {
		stop()
		Eventually(stopped).WithTimeout(3 * time.Second).Should(BeClosed())
		_ = listener.Close()
	})
	return box, store
}

func mayOrder(box *Node) func() bool {
	return func() bool {
		_, err := box.orderLease.Term()
		return err == nil
	}
}

var _ = Describe("a box", func() {
	It("is ready once it has a configuration and knows upstreams, until it leaves", func() {
		box, _ := startBox(func(*Node) {})
		Eventually(box.Ready).WithTimeout(3 * time.Second).Should(BeTrue())
		box.Leave()
		Expect(box.Ready()).To(BeFalse())
	})

	It("hands the order lease back when it leaves", func() {
		box, store := startBox(func(*Node) {})
		Eventually(mayOrder(box)).WithTimeout(5 * time.Second).Should(BeTrue())
		box.Leave()
		Eventually(func() error {
			_, err := store.Get(context.Background(), "own/leases/orders")
			return err
		}).WithTimeout(3 * time.Second).Should(MatchError(kv.ErrNotFound))
		Expect(mayOrder(box)()).To(BeFalse())
	})

	It("never gives orders if it leaves before it runs", func() {
		box, _ := startBox((*Node).Leave)
		Consistently(mayOrder(box)).WithTimeout(time.Second).Should(BeFalse())
	})
})
