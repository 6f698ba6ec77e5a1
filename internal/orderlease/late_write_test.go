package orderlease

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/spectest"
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

var _ = Describe("the order lease of a store that does late writes", func() {
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
})
