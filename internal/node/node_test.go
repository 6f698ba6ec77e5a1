package node

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// withBox runs f in a bubble, on a box with an in-memory store that has a configuration and an upstream.
// It calls before on the box before the box runs.
func withBox(before func(*Node), f func(box *Node, store kv.Store)) {
	spectest.Bubble(func() {
		store := kv.NewMemory().Store()
		for _, key := range []string{"config", "servers/e1"} {
			_, err := store.Swap(context.Background(), kv.Swap{Key: key, Value: []byte("e1")})
			Expect(err).NotTo(HaveOccurred())
		}
		network := &spectest.Network{}
		box := New(testConfig("b", "h", "b:1", store, network.Dial))
		Expect(box.Ready()).To(BeFalse())
		before(box)
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		listener := network.Listen("b:1")
		go func() {
			defer close(stopped)
			box.Run(ctx, listener)
		}()
		defer func() {
			stop()
			Eventually(stopped).WithTimeout(3 * time.Second).Should(BeClosed())
			_ = listener.Close()
			time.Sleep(time.Minute) // Work that was started for a term of the order lease ends with it.
		}()
		f(box, store)
	})
}

// mayOrder returns a function that reports whether a box may give orders now.
func mayOrder(box *Node) func() bool {
	return func() bool {
		_, err := box.orderLease.Term()
		return err == nil
	}
}

var _ = Describe("a box", func() {
	It("is ready once it has a configuration and knows upstreams, until it leaves", func() {
		withBox(func(*Node) {}, func(box *Node, _ kv.Store) {
			Eventually(box.Ready).WithTimeout(3 * time.Second).Should(BeTrue())
			box.Leave()
			Expect(box.Ready()).To(BeFalse())
		})
	})

	DescribeTable("waits until the store lists it if customers have limits, for two seconds at most",
		func(limit float64, listedAfter, readyAfter time.Duration) {
			spectest.Bubble(func() {
				store := kv.NewMemory().Store()
				for _, key := range []string{"config", "servers/e1"} {
					_, err := store.Swap(context.Background(), kv.Swap{Key: key, Value: []byte("e1")})
					Expect(err).NotTo(HaveOccurred())
				}
				slow := store
				slow.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
					if err := pause.For(ctx, listedAfter); err != nil {
						return kv.Record{}, err
					}
					return store.Swap(ctx, swap)
				}
				network := &spectest.Network{}
				config := testConfig("b", "h", "b:1", slow, network.Dial)
				config.Platform.DecodeTable = func(map[string]kv.Record) (*routes.Table, error) {
					table := routes.New(1, nil, nil, routes.Limits{})
					limited := customers.Customer{Name: "c", Limit: customers.Limit{PerSecond: limit}}
					table.Customers = customers.NewDirectory([]customers.Customer{limited})
					return table, nil
				}
				box := New(config)
				ctx, stop := context.WithCancel(context.Background())
				stopped := make(chan struct{})
				listener := network.Listen("b:1")
				go func() {
					defer close(stopped)
					box.Run(ctx, listener)
				}()
				begun := time.Now()
				for !box.Ready() && time.Since(begun) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				Expect(time.Since(begun)).To(BeNumerically("~", readyAfter, 300*time.Millisecond))
				stop()
				<-stopped
				_ = listener.Close()
				time.Sleep(time.Minute) // Work that was started for a term of the order lease ends with it.
			})
		},
		Entry("no limits", 0.0, time.Second, time.Duration(0)),
		Entry("listed after a second", 10.0, time.Second, 1200*time.Millisecond),
		Entry("not listed", 10.0, 10*time.Second, 2*time.Second),
	)

	It("gives up the order lease when it leaves", func() {
		withBox(func(*Node) {}, func(box *Node, store kv.Store) {
			Eventually(mayOrder(box)).WithTimeout(5 * time.Second).Should(BeTrue())
			box.Leave()
			Eventually(func() error {
				_, err := store.Get(context.Background(), "own/leases/orders")
				return err
			}).WithTimeout(3 * time.Second).Should(MatchError(kv.ErrNotFound))
			Expect(mayOrder(box)()).To(BeFalse())
		})
	})

	It("never gives orders if it leaves before it runs", func() {
		withBox((*Node).Leave, func(box *Node, _ kv.Store) {
			Consistently(mayOrder(box)).WithTimeout(time.Second).Should(BeFalse())
		})
	})

	It("tells another box over TCP which requests it is running", func() {
		store := kv.NewMemory().Store()
		var boxes []*Node
		for _, name := range []string{"a", "b"} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			box := New(testConfig(name, "h", listener.Addr().String(), store, (&net.Dialer{}).DialContext))
			ctx, stop := context.WithCancel(context.Background())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				box.Run(ctx, listener)
			}()
			DeferCleanup(func() {
				stop()
				Eventually(stopped).WithTimeout(time.Minute).Should(BeClosed())
				_ = listener.Close()
			})
			boxes = append(boxes, box)
		}
		choice := dispatch.Choice{Upstream: &fleet.State{Upstream: &fleet.Upstream{ID: "e1"}}}
		defer boxes[1].Gateway.Loads.Begin(choice, dispatch.Requirements{Service: "s"}).End()
		running := func() int { return boxes[0].Gateway.Loads.Total("e1").Running }
		Eventually(running).WithTimeout(time.Minute).Should(Equal(1))
	})
})
