package orderlease

import (
	"flag"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// More of them by hand: go test ./internal/orderlease -args -ginkgo.focus='came back' -restored-seeds=500
var restoredSeeds = flag.Int("restored-seeds", 20, "how many seeds of a restored store the order lease's spec plays")

// disturb makes one random disturbance.
func (f *orderFleet) disturb(random *rand.Rand, copies *[]kv.Checkpoint) {
	b := f.boxes[random.IntN(len(f.boxes))]
	span := time.Duration(random.IntN(5000)) * time.Millisecond
	switch random.IntN(7) {
	case 0, 1, 2:
		f.away.Store(true)
		time.Sleep(span / time.Duration(1+random.IntN(4)))
		f.memory.Restore((*copies)[random.IntN(len(*copies))])
		f.away.Store(false)
		*copies = nil
	case 3:
		b.storeCut.Store(true)
		time.AfterFunc(span, func() { b.storeCut.Store(false) })
	case 4:
		b.peersCut.Store(true)
		time.AfterFunc(span, func() { b.peersCut.Store(false) })
	case 5:
		b.stop()
		b.start()
	case 6:
		time.Sleep(span)
	}
}

// playRestored plays a minute of disturbances and returns the fleet.
func playRestored(seed uint64) *orderFleet {
	f := &orderFleet{}
	spectest.Bubble(func() {
		f.memory = kv.NewMemory()
		random := rand.New(rand.NewPCG(seed, 3))
		for _, name := range []string{"a", "b", "c"} {
			b := &orderBox{fleet: f, name: name}
			f.boxes = append(f.boxes, b)
			b.start()
		}
		var copies []kv.Checkpoint
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
			for range 1 + random.IntN(6) {
				copies = append(copies, f.memory.Checkpoint())
				copies = copies[max(0, len(copies)-6):]
				time.Sleep(500 * time.Millisecond)
			}
			f.disturb(random, &copies)
		}
		time.Sleep(calmTime)
		f.ended = time.Now()
		for _, b := range f.boxes {
			b.stop()
		}
		time.Sleep(20 * time.Second) // Goroutines started for a term end meanwhile.
	})
	return f
}

var _ = Describe("the order lease of a store that came back from a copy", func() {
	It("has one box at a time whose orders an engine gets, under rising terms, beside cuts and restarts", func() {
		orders, holders, returns := 0, 0, int64(0)
		for seed := range uint64(*restoredSeeds) {
			f := playRestored(seed)
			Expect(f.violations()).To(BeEmpty(), "seed %d", seed)
			orders += len(f.orders)
			returns += f.memory.Epoch()
			holders += f.changesOfHolder()
			Expect(f.orders[len(f.orders)-1].at).To(BeTemporally(">", f.ended.Add(-time.Second)), "seed %d: no orders at the end", seed)
		}
		GinkgoWriter.Printf("%d orders, %d changes of the holder, %d returns\n", orders, holders, returns)
		Expect(holders).To(BeNumerically(">", 0))
	})

	It("is not taken for one without orders since by a box that was cut off for longer than another one needs to take over", func() {
		spectest.Bubble(func() {
			f := &orderFleet{memory: kv.NewMemory()}
			former, holder := &orderBox{fleet: f, name: "a"}, &orderBox{fleet: f, name: "b"}
			former.start()
			time.Sleep(10 * time.Second)
			former.storeCut.Store(true)
			holder.peersCut.Store(true) // It can't ask the former holder to yield.
			time.Sleep(6 * time.Second) // Until its lease is over.
			checkpoint := f.memory.Checkpoint()
			holder.start()
			time.Sleep(15 * time.Second)
			Expect(lastOf(f.given()).box).To(Equal("b"))
			holder.storeCut.Store(true)
			f.memory.Restore(checkpoint)
			former.storeCut.Store(false)
			time.Sleep(15 * time.Second)
			Expect(f.violations()).To(BeEmpty())
			Expect(lastOf(f.given()).box).To(Equal("a"))
			former.stop()
			holder.stop()
			time.Sleep(20 * time.Second)
		})
	})

	It("stays with its holder without a pause in the orders", func() {
		spectest.Bubble(func() {
			f := &orderFleet{memory: kv.NewMemory()}
			b := &orderBox{fleet: f, name: "a"}
			b.start()
			time.Sleep(10 * time.Second)
			checkpoint := f.memory.Checkpoint()
			time.Sleep(3 * time.Second)
			f.memory.Restore(checkpoint)
			returned := time.Now()
			time.Sleep(3 * time.Second)
			longest, orders := time.Duration(0), f.given()
			for n := 1; n < len(orders); n++ {
				if orders[n].at.After(returned) {
					longest = max(longest, orders[n].at.Sub(orders[n-1].at))
				}
			}
			b.stop()
			Expect(longest).To(BeNumerically(">", 0))
			Expect(longest).To(BeNumerically("<", 300*time.Millisecond))
			time.Sleep(20 * time.Second)
		})
	})
})
