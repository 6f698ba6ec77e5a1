package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// A box that started between the return of the store from a copy and the operator's next write served by the older
// configuration that the store had then, while all boxes beside it served by the newer one.
var _ = Describe("a box that starts after the store lost the latest configuration", func() {
	const (
		lost   = 5 // The version that the store lost.
		stored = 1
	)
	// bound is the longest time until the box is ready, where it took 0.2 s before.
	const bound = time.Second

	// start starts one more box, and returns how long it took until it was ready and the version that was in force then.
	start := func(ctx context.Context, s *smallBoxes) (box *Node, took time.Duration, version int64) {
		n := len(s.nodes)
		begun := time.Now()
		s.start(ctx, n)
		box = s.nodes[n]
		for !box.Ready() && time.Since(begun) < 10*time.Second {
			time.Sleep(time.Millisecond)
		}
		return box, time.Since(begun), box.Gateway.Table().Version
	}
	// told changes what a box tells others of the configuration that it holds; nil changes nothing.
	type told = func(*cluster.HeldConfig) *cluster.HeldConfig
	var tells []*atomic.Pointer[told]
	tell := func(box int, change told) { tells[box].Store(&change) }
	nothing := func(*cluster.HeldConfig) *cluster.HeldConfig { return nil }
	all := func(held *cluster.HeldConfig) *cluster.HeldConfig { return held }
	letTell := func(box *Node) {
		change := &atomic.Pointer[told]{}
		tells = append(tells, change)
		box.exchange.HeldConfig = func() *cluster.HeldConfig {
			held := box.view.HeldConfig()
			if change := change.Load(); held != nil && change != nil {
				return (*change)(held)
			}
			return held
		}
	}
	// withLostConfig runs f on a fleet whose store lost a version, with a context that ends at the end.
	withLostConfig := func(size smallFleetSize, f func(context.Context, *smallBoxes)) {
		tells = nil
		withPreparedBoxes(size, letTell, func(s *smallBoxes) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			first := s.service.Checkpoint()
			s.service.Restore(first) // The first epoch of this store is 0, that of the platform's 1.
			time.Sleep(time.Second)
			checkpoint := s.service.Checkpoint()
			s.put("config", configText(lost, 50))
			time.Sleep(3 * time.Second)
			s.service.Restore(checkpoint)
			time.Sleep(3 * time.Second)
			for _, node := range s.nodes {
				Expect(node.Gateway.Table().Version).To(Equal(int64(lost)))
			}
			f(ctx, s)
		})
	}
	small, large := smallFleetSize{3, 1, 4}, smallFleetSize{20, 2, 4}

	for _, size := range []smallFleetSize{small, large} {
		It(fmt.Sprint("serves by what is in force beside it from the first, at ", size.boxes, " boxes"), func() {
			withLostConfig(size, func(ctx context.Context, s *smallBoxes) {
				_, took, version := start(ctx, s)
				Expect(version).To(Equal(int64(lost)))
				Expect(took).To(BeNumerically("<", bound))
				GinkgoWriter.Printf("%d boxes: ready after %v\n", size.boxes, took)
				// The operator's next version is in force everywhere, and nothing is held any more.
				s.put("config", configText(lost+1, 50))
				time.Sleep(3 * time.Second)
				for _, node := range s.nodes {
					Expect(node.Gateway.Table().Version).To(Equal(int64(lost + 1)))
					Expect(node.view.HeldConfig()).To(BeNil())
				}
			})
		})
	}

	It("holds the version for the box that starts next", func() {
		withLostConfig(small, func(ctx context.Context, s *smallBoxes) {
			_, _, version := start(ctx, s)
			Expect(version).To(Equal(int64(lost)))
			for n := range small.boxes {
				tell(n, nothing)
			}
			_, _, version = start(ctx, s)
			Expect(version).To(Equal(int64(lost)))
		})
	})

	It("starts in bounded time with the store's version if no other box answers", func() {
		for _, silent := range []bool{false, true} {
			withLostConfig(small, func(ctx context.Context, s *smallBoxes) {
				s.stop()
				time.Sleep(time.Second) // Less than their registrations last.
				for n := range s.nodes {
					if silent {
						s.network.Listen(smallBoxAddress(n)) // It accepts nothing.
					}
				}
				_, took, version := start(ctx, s)
				Expect(version).To(Equal(int64(stored)))
				Expect(took).To(BeNumerically("<", bound))
			})
		}
	})

	It("starts with the store's version beside boxes of the build before, and beside boxes that are older", func() {
		withLostConfig(small, func(ctx context.Context, s *smallBoxes) {
			for n := range s.nodes {
				tell(n, nothing)
			}
			_, took, version := start(ctx, s)
			Expect(version).To(Equal(int64(stored)))
			Expect(took).To(BeNumerically("<", bound))
			// The next box asks one that is older and one that is of this build.
			tell(0, all)
			_, _, version = start(ctx, s)
			Expect(version).To(Equal(int64(lost)))
		})
	})

	It("takes no version that cannot be right, and serves by the next one that the operator writes", func() {
		withLostConfig(small, func(ctx context.Context, s *smallBoxes) {
			for n, hostile := range []int64{1 << 62, -7, lost + 1} {
				tell(n, func(held *cluster.HeldConfig) *cluster.HeldConfig {
					return &cluster.HeldConfig{Version: hostile, Records: held.Records}
				})
			}
			box, took, version := start(ctx, s)
			Expect(version).To(Equal(int64(stored)))
			Expect(took).To(BeNumerically("<", bound))
			s.put("config", configText(lost+1, 50))
			time.Sleep(3 * time.Second)
			Expect(box.Gateway.Table().Version).To(Equal(int64(lost + 1)))
		})
	})

	It("is ready as soon as before if all boxes start at once, and if the store never came back from a copy", func() {
		for _, restored := range []bool{false, true} {
			spectest.Bubble(func() {
				s := newSmallBoxes(small)
				if restored {
					for range 2 {
						s.service.Restore(s.service.Checkpoint())
					}
				}
				ctx, stop := context.WithCancel(context.Background())
				begun := time.Now()
				for n := range small.boxes {
					s.start(ctx, n)
				}
				var last time.Duration
				for _, node := range s.nodes {
					for !node.Ready() && time.Since(begun) < 10*time.Second {
						time.Sleep(time.Millisecond)
					}
					last = time.Since(begun)
				}
				stop()
				s.running.Wait()
				time.Sleep(time.Minute)
				GinkgoWriter.Printf("restored %v: ready after %v\n", restored, last)
				if restored {
					Expect(last).To(BeNumerically("<", bound))
				} else {
					Expect(last).To(BeNumerically("<", 100*time.Millisecond))
				}
				Expect(kv.EpochOf(s.nodes[0].state().Revision)).To(Equal(s.service.Epoch()))
			})
		}
	})
})
