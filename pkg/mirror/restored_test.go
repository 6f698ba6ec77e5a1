package mirror_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// restorable is a store with a few records, and a copy of its state from before the latest of them.
type restorable struct {
	*kv.Memory
	kv.Store
	copied kv.Checkpoint
}

// newRestorable returns a store whose copy has the records a and b; after it, a and c were written and b was removed.
func newRestorable() *restorable {
	memory := kv.NewMemory()
	r := &restorable{Memory: memory, Store: memory.Store()}
	put(r.Store, "a", "1")
	put(r.Store, "b", "1")
	r.copied = memory.Checkpoint()
	put(r.Store, "a", "2")
	put(r.Store, "c", "1")
	remove(r.Store, "b")
	return r
}

func (r *restorable) restore() { r.Memory.Restore(r.copied) }

var _ = Describe("a copy of a store that came back from an older state", func() {
	old := map[string]string{"a": "1", "b": "1"}
	new := map[string]string{"a": "2", "c": "1"}

	It("has the store's state soon, whether or not a watch was open and before the store passes the copy's revision", func() {
		for _, paused := range []bool{false, true} {
			spectest.Bubble(func() {
				r := newRestorable()
				var pause atomic.Bool
				m := &mirror.Mirror{Store: r.Store, Paused: pause.Load}
				defer start(m)()
				time.Sleep(time.Second)
				Expect(values(m.State())).To(Equal(new))
				pause.Store(paused)
				time.Sleep(time.Second)
				r.restore()
				time.Sleep(300 * time.Millisecond)
				Expect(values(m.State())).To(Equal(old), "paused: %v", paused)
				pause.Store(false)
				put(r.Store, "a", "3")
				time.Sleep(300 * time.Millisecond)
				Expect(values(m.State())).To(Equal(map[string]string{"a": "3", "b": "1"}))
			})
		}
	})

	It("takes a value whose revision was given out again for another one", func() {
		spectest.Bubble(func() {
			r := newRestorable()
			m := &mirror.Mirror{Store: r.Store}
			defer start(m)()
			time.Sleep(time.Second)
			r.restore()
			put(r.Store, "a", "other")
			put(r.Store, "c", "other")
			remove(r.Store, "b")
			time.Sleep(time.Second)
			Expect(values(m.State())).To(Equal(map[string]string{"a": "other", "c": "other"}))
		})
	})

	It("is passed on to a box of the time before, and never back", func() {
		spectest.Bubble(func() {
			r := newRestorable()
			behind, ahead := &mirror.Mirror{Store: r.Store}, &mirror.Mirror{Store: r.Store}
			stop := start(behind)
			time.Sleep(time.Second)
			stop()
			outdated := *behind.DeltaSince(0, math.MaxInt)
			r.restore()
			defer start(ahead)()
			time.Sleep(time.Second)
			Expect(ahead.State().Revision).To(BeNumerically(">", behind.State().Revision))
			Expect(ahead.ApplyDelta(outdated)).To(BeFalse())
			delta := ahead.DeltaSince(behind.State().Revision, math.MaxInt)
			Expect(delta).NotTo(BeNil())
			Expect(behind.ApplyDelta(*delta)).To(BeTrue())
			Expect(values(behind.State())).To(Equal(old))
			Expect(behind.ApplyDelta(outdated)).To(BeFalse())
		})
	})

	It("is not confirmed by what was current before, nor changed by answers that arrive late", func() {
		spectest.Bubble(func() {
			r := newRestorable()
			late := make(chan struct{})
			slow := r.Store
			slow.Snapshot = func(ctx context.Context, prefix string) (kv.Snapshot, error) {
				snapshot, err := r.Store.Snapshot(ctx, prefix)
				<-late
				return snapshot, err
			}
			m := &mirror.Mirror{Store: slow}
			defer start(m)()
			synctest.Wait()
			r.restore()
			source := &mirror.Mirror{Store: r.Store}
			stop := start(source)
			time.Sleep(time.Second)
			stop()
			Expect(m.ApplyDelta(*source.DeltaSince(0, math.MaxInt))).To(BeTrue())
			close(late)
			synctest.Wait()
			Expect(m.Staleness()).To(BeNumerically("<", 0), "confirmed by a snapshot of the time before")
			m.ConfirmCurrent(r.Memory.Revision()-1<<40, time.Now())
			Expect(m.Staleness()).To(BeNumerically("<", 0), "confirmed by a box of the time before")
			Expect(values(m.State())).To(Equal(old))
		})
	})

	It("ends at the store's state at every box, whoever of them asks it, under returns shortly after each other", func() {
		for seed := range uint64(20) {
			spectest.Bubble(func() {
				random := rand.New(rand.NewPCG(seed, 1))
				memory := kv.NewMemory()
				store := memory.Store()
				copies := []kv.Checkpoint{memory.Checkpoint()}
				boxes := []*mirror.Mirror{{Store: store}, {Store: store}, {Store: store}}
				boxes[1].Paused = func() bool { return true } // It asks the store only when it has to.
				boxes[2].Store.Epoch = nil                    // It never learns of a return by itself.
				boxes[2].Paused = boxes[1].Paused
				for _, m := range boxes {
					defer start(m)()
				}
				for range 300 {
					time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
					key := fmt.Sprint("k", random.IntN(6))
					switch record, err := store.Get(context.Background(), key); random.IntN(8) {
					case 0:
						memory.Restore(copies[random.IntN(len(copies))])
						copies = copies[:1]
					case 1:
						copies = append(copies, memory.Checkpoint())
					case 2:
						if err == nil {
							Expect(store.Delete(context.Background(), key, record.Revision)).To(Succeed())
						}
					default:
						put(store, key, fmt.Sprint(random.IntN(1000)))
					}
					exchangeDeltas(boxes[random.IntN(3)], boxes[random.IntN(3)])
				}
				time.Sleep(5 * time.Second)
				exchangeDeltas(boxes[0], boxes[1])
				exchangeDeltas(boxes[0], boxes[2])
				snapshot, err := store.Snapshot(context.Background(), "")
				Expect(err).NotTo(HaveOccurred())
				want := map[string]string{}
				for _, record := range snapshot.Records {
					want[record.Key] = string(record.Value)
				}
				for n, m := range boxes {
					Expect(values(m.State())).To(Equal(want), "seed %d, box %d", seed, n)
				}
			})
		}
	})
})

// exchangeDeltas sends one box what another one has newer, and the confirmation of its copy.
func exchangeDeltas(from, to *mirror.Mirror) {
	revision, staleness := from.State().Revision, from.Staleness()
	if delta := from.DeltaSince(to.State().Revision, math.MaxInt); delta != nil {
		to.ApplyDelta(*delta)
	}
	if staleness >= 0 {
		to.ConfirmCurrent(revision, time.Now().Add(-staleness))
	}
}
