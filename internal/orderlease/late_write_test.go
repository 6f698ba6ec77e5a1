package orderlease

import (
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// More of them by hand: go test ./internal/orderlease -args -ginkgo.focus='late writes' -late-write-seeds=500
var (
	lateWriteSeeds = flag.Int("late-write-seeds", 40, "how many seeds of late writes the order lease's spec plays")
	lateWriteFirst = flag.Uint64("late-write-first", 0, "first seed of late writes that the order lease's spec plays")
)

// writeFault is the fault of one write whose answer is lost.
type writeFault struct {
	// dropped: the write is never done. Otherwise it is done after this time, if its condition still holds.
	dropped bool
	late    time.Duration
}

// loseAnswer does a write with a fault in the memory's store, and returns the error of a write without an answer.
func (f *orderFleet) loseAnswer(swap kv.Swap, fault writeFault) error {
	if !fault.dropped {
		store := f.memory.Store()
		time.AfterFunc(fault.late, func() {
			if _, err := store.Swap(context.Background(), swap); err == nil {
				f.lateWrites.Add(1)
			}
		})
	}
	return kv.ErrUnknown
}

// kill ends the process of the box without a call of the store.
func (b *orderBox) kill() {
	b.storeCut.Store(true)
	b.stop()
	b.storeCut.Store(false)
}

// lateRecordBy returns a fault of writes by which the answers to a box's writes of the last holder's record are lost. The
// first one is done late, the others are not done.
func lateRecordBy(box string, late time.Duration) func(*orderBox, kv.Swap) *writeFault {
	writes := 0
	return func(b *orderBox, swap kv.Swap) *writeFault {
		if b.name != box || !strings.HasSuffix(swap.Key, lastHolderKey) {
			return nil
		}
		writes++
		return &writeFault{dropped: writes > 1, late: late}
	}
}

// inFleet runs play on a fleet of boxes of which none has started.
func inFleet(names []string, play func(f *orderFleet)) {
	spectest.Bubble(func() {
		f := &orderFleet{memory: kv.NewMemory()}
		for _, name := range names {
			f.boxes = append(f.boxes, &orderBox{fleet: f, name: name})
		}
		play(f)
		for _, b := range f.boxes {
			b.stop()
		}
		time.Sleep(20 * time.Second) // Goroutines started for a term end meanwhile.
	})
}

// playLateWrites plays a minute in which boxes are stopped, killed, cut off and started in series, while some writes are
// done late or are not answered, and returns the fleet.
func playLateWrites(seed uint64) *orderFleet {
	var played *orderFleet
	inFleet([]string{"a", "b", "c"}, func(f *orderFleet) {
		played = f
		random := rand.New(rand.NewPCG(seed, 7))
		for _, b := range f.boxes {
			b.start()
		}
		time.Sleep(5 * time.Second)
		var losing bool
		faults := rand.New(rand.NewPCG(seed, 8)) // The boxes draw from it, one at a time.
		f.setFault(func(*orderBox, kv.Swap) *writeFault {
			if !losing || faults.IntN(3) == 0 {
				return nil
			}
			return &writeFault{dropped: faults.IntN(4) == 0, late: time.Duration(faults.IntN(6000)) * time.Millisecond}
		})
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
			f.faults.Lock()
			losing = random.IntN(3) > 0
			f.faults.Unlock()
			f.changeHolder(random)
			time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		}
		f.setFault(nil)
		time.Sleep(calmTime)
		f.ended = time.Now()
	})
	return played
}

// changeHolder disturbs one or more boxes, the latest one that gave orders first.
func (f *orderFleet) changeHolder(random *rand.Rand) {
	boxes := append([]*orderBox(nil), f.boxes...)
	random.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	if orders := f.given(); len(orders) > 0 {
		for i, b := range boxes {
			if b.name == lastOf(orders).box {
				boxes[0], boxes[i] = boxes[i], boxes[0]
			}
		}
	}
	for _, b := range boxes[:1+random.IntN(len(boxes))] {
		switch random.IntN(4) {
		case 0:
			b.kill()
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			b.start()
		case 1:
			b.storeCut.Store(true)
			time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, func() { b.storeCut.Store(false) })
		default:
			b.stop()
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			b.start()
		}
	}
}

var _ = Describe("the order lease of a store that does late writes", func() {
	// A box that finds its own name in the record of the last holder must not rely on it while a write of another box,
	// whose outcome was unknown, can still take effect: the next holder would find the wrong name.
	It("is not taken over without a wait by a box whose write of its name is done late, under the next holder", func() {
		inFleet([]string{"a", "b"}, func(f *orderFleet) {
			a, b := f.boxes[0], f.boxes[1]
			a.start()
			time.Sleep(5 * time.Second)
			b.start()
			time.Sleep(5 * time.Second)
			f.setFault(lateRecordBy("b", 5500*time.Millisecond))
			a.stop()
			time.Sleep(time.Second)
			b.stop()
			a.start()
			f.setFault(nil)
			time.Sleep(time.Second)
			b.start()
			time.Sleep(10 * time.Second)
			Expect(lastOf(f.given()).box).To(Equal("a"))
			a.stop()
			time.Sleep(10 * time.Second)
			Expect(lastOf(f.given()).box).To(Equal("b"))
			Expect(f.violations()).To(BeEmpty())
			a.start()
		})
	})

	// A write of an earlier holder that takes effect after the lease was gained does not show that the lease was lost.
	It("lets its holder give orders although a write of an earlier holder is done late", func() {
		inFleet([]string{"a", "b", "c"}, func(f *orderFleet) {
			a, b, c := f.boxes[0], f.boxes[1], f.boxes[2]
			a.start()
			time.Sleep(5 * time.Second)
			b.start()
			time.Sleep(5 * time.Second)
			f.setFault(func(box *orderBox, swap kv.Swap) *writeFault {
				if !strings.HasSuffix(swap.Key, lastHolderKey) {
					return nil
				}
				return &writeFault{dropped: box == c, late: 5500 * time.Millisecond}
			})
			a.stop()
			time.Sleep(time.Second)
			b.kill()
			c.start()
			time.Sleep(6 * time.Second) // The lease of the killed box ends.
			f.setFault(nil)
			time.Sleep(10 * time.Second)
			Expect(f.lateWrites.Load()).To(BeNumerically(">", 0))
			Expect(lastOf(f.given()).box).To(Equal("c"))
			Expect(time.Since(lastOf(f.given()).at)).To(BeNumerically("<", time.Second))
			Expect(f.violations()).To(BeEmpty())
			a.start()
			b.start()
		})
	})

	It("lets its holder give orders once the write of its name is done, although no answer shows it", func() {
		inFleet([]string{"a"}, func(f *orderFleet) {
			a := f.boxes[0]
			a.start()
			time.Sleep(5 * time.Second)
			a.stop()
			f.setFault(func(_ *orderBox, swap kv.Swap) *writeFault {
				if !strings.HasSuffix(swap.Key, lastHolderKey) {
					return nil
				}
				return &writeFault{late: time.Millisecond}
			})
			started := time.Now()
			a.start()
			time.Sleep(5 * time.Second)
			begun := slices.IndexFunc(f.given(), func(order givenOrder) bool { return order.at.After(started) })
			Expect(begun).To(BeNumerically(">", 0))
			Expect(f.given()[begun].at).To(BeTemporally("<", started.Add(time.Second)))
		})
	})

	It("has one box at a time whose orders an engine gets, beside late writes, stops, kills and cuts", func() {
		late, holders := int64(0), 0
		for seed := *lateWriteFirst; seed < *lateWriteFirst+uint64(*lateWriteSeeds); seed++ {
			f := playLateWrites(seed)
			Expect(f.violations()).To(BeEmpty(), "seed %d", seed)
			Expect(lastOf(f.given()).at).To(BeTemporally(">", f.ended.Add(-time.Second)), "seed %d: no orders at the end", seed)
			late += f.lateWrites.Load()
			holders += f.changesOfHolder()
		}
		GinkgoWriter.Printf("%d late writes took effect, %d changes of the holder\n", late, holders)
		Expect(late).To(BeNumerically(">", 0))
		Expect(holders).To(BeNumerically(">", 0))
	})
})
