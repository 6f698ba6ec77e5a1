package mirror_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// maxDeltaValue is the length of the longest value, in bytes, that the deltas of these specs carry.
const maxDeltaValue = 8

var longValue = strings.Repeat("x", maxDeltaValue+1)

// sendMissing applies to a mirror those of its missing records that another one has.
func sendMissing(to, from *mirror.Mirror) {
	for _, large := range to.Missing() {
		if record, _ := from.State().Records.Get(large.Key); record.Revision >= large.Revision {
			to.ApplyLarge(record)
		}
	}
}

// sendDelta applies to a mirror what another one has newer, except for large records.
func sendDelta(to, from *mirror.Mirror) {
	if delta := from.DeltaSince(to.State().Revision, maxDeltaValue); delta != nil {
		to.ApplyDelta(*delta)
	}
}

var _ = Describe("a large record", func() {
	It("is named in a delta, does not delay other records, and keeps its previous value until it arrives", func() {
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			put(store, "config", "old")
			put(store, "e1", "ready")
			follower, peer := &mirror.Mirror{Store: store}, &mirror.Mirror{}
			defer start(follower)()
			synctest.Wait()
			sendDelta(peer, follower)
			put(store, "config", longValue)
			put(store, "e1", "leaves")
			synctest.Wait()
			sendDelta(peer, follower)
			Expect(values(peer.State())).To(Equal(map[string]string{"config": "old", "e1": "leaves"}))
			Expect(peer.Missing()).To(HaveLen(1))
			peer.ConfirmCurrent(follower.State().Revision, time.Now())
			time.Sleep(time.Second)
			peer.ConfirmCurrent(follower.State().Revision, time.Now())
			Expect(peer.Staleness()).To(Equal(time.Second), "a copy that lacks a record is not current")
			peer.NoteProgress()
			Expect(peer.Staleness()).To(BeZero(), "unless the record is arriving")
			By("being named by a box that lacks it too")
			third := &mirror.Mirror{}
			sendDelta(third, peer)
			Expect(third.Missing()).To(Equal(peer.Missing()))
			By("arriving in a transfer of its own")
			sendMissing(peer, follower)
			Expect(values(peer.State())).To(Equal(map[string]string{"config": longValue, "e1": "leaves"}))
			Expect(peer.Missing()).To(BeEmpty())
			Expect(peer.Staleness()).To(BeZero())
			Expect(peer.ApplyLarge(kv.Record{Key: "config", Revision: 99})).To(BeFalse(), "nothing is missing any more")
		})
	})

	It("is applied although a later revision is already missing, and never after that revision", func() {
		m := &mirror.Mirror{}
		Expect(m.ApplyDelta(mirror.Delta{Revision: 5, Large: []mirror.LargeRecord{{Key: "config", Revision: 5}}})).To(BeTrue())
		Expect(m.ApplyDelta(mirror.Delta{From: 5, Revision: 7, Large: []mirror.LargeRecord{{Key: "config", Revision: 7}}})).To(BeTrue())
		Expect(m.ApplyLarge(kv.Record{Key: "config", Value: []byte("five"), Revision: 5})).To(BeTrue())
		Expect(m.Missing()).To(Equal([]mirror.LargeRecord{{Key: "config", Revision: 7}}))
		Expect(m.ApplyLarge(kv.Record{Key: "config", Value: []byte("seven"), Revision: 7})).To(BeTrue())
		Expect(m.ApplyLarge(kv.Record{Key: "config", Value: []byte("five"), Revision: 5})).To(BeFalse())
		Expect(values(m.State())).To(Equal(map[string]string{"config": "seven"}))
	})

	It("is no longer missing once it is removed, also on boxes that never had it", func() {
		m, peer := &mirror.Mirror{}, &mirror.Mirror{}
		Expect(m.ApplyDelta(mirror.Delta{Revision: 5, Large: []mirror.LargeRecord{{Key: "config", Revision: 5}}})).To(BeTrue())
		sendDelta(peer, m)
		Expect(peer.Missing()).To(HaveLen(1))
		Expect(m.ApplyDelta(mirror.Delta{From: 5, Revision: 6, Removed: []string{"config"}})).To(BeTrue())
		Expect(m.Missing()).To(BeEmpty())
		sendDelta(peer, m)
		Expect(peer.Missing()).To(BeEmpty())
		Expect(peer.State().Records.Len()).To(BeZero())
	})

	It("is read from the store by a box that polls it", func() {
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			put(store, "config", longValue)
			follower, m := &mirror.Mirror{Store: store}, &mirror.Mirror{Store: store}
			stop := start(follower)
			synctest.Wait()
			stop()
			sendDelta(m, follower)
			Expect(m.Missing()).To(HaveLen(1))
			defer start(m)()
			synctest.Wait()
			Expect(m.Missing()).To(BeEmpty())
			Expect(values(m.State())).To(Equal(map[string]string{"config": longValue}))
		})
	})

	It("is all that is read of the store by a box whose first copy came from another one", func() {
		spectest.Bubble(func() {
			memory := kv.NewMemory().Store()
			store, snapshots, gets := memory, 0, 0
			store.Snapshot = func(ctx context.Context, prefix string) (kv.Snapshot, error) {
				snapshots++
				return memory.Snapshot(ctx, prefix)
			}
			store.Get = func(ctx context.Context, key string) (kv.Record, error) {
				gets++
				return memory.Get(ctx, key)
			}
			put(memory, "config", longValue)
			put(memory, "later", longValue)
			put(memory, "gone", longValue)
			for n := range 100 {
				put(memory, fmt.Sprint("e", n), "serves")
			}
			follower, m := &mirror.Mirror{Store: memory}, &mirror.Mirror{Store: store}
			stop := start(follower)
			synctest.Wait()
			stop()
			sendDelta(m, follower)
			By("changes of what it lacks and of what it has, before it follows the store")
			put(memory, "later", "short")
			put(memory, "e7", "leaves")
			remove(memory, "gone")
			remove(memory, "e8")
			defer start(m)()
			synctest.Wait()
			Expect(m.Missing()).To(BeEmpty())
			Expect(values(m.State())).To(HaveLen(101))
			Expect(values(m.State())).To(HaveKeyWithValue("e7", "leaves"))
			Expect(values(m.State())).To(HaveKeyWithValue("later", "short"))
			Expect(snapshots).To(BeZero())
			Expect(gets).To(Equal(3))
		})
	})

	It("is read from the store if another box named it before the watch began and does not send it", func() {
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			put(store, "e1", "serves")
			m := &mirror.Mirror{Store: store, BatchDelay: func() time.Duration { return 300 * time.Millisecond }}
			defer start(m)()
			synctest.Wait()
			put(store, "config", longValue)
			peer := &mirror.Mirror{Store: store}
			stop := start(peer)
			synctest.Wait()
			stop()
			sendDelta(m, peer)
			Expect(m.Missing()).To(HaveLen(1))
			time.Sleep(2 * time.Second)
			Expect(m.Missing()).To(BeEmpty())
			Expect(values(m.State())).To(Equal(map[string]string{"e1": "serves", "config": longValue}))
		})
	})

	It("ends at the store's state on all boxes, however deltas, records and the store's answers interleave", func() {
		for seed := range uint64(30) {
			spectest.Bubble(func() {
				random := rand.New(rand.NewPCG(seed, 3))
				store := kv.NewMemory().Store()
				boxes := []*mirror.Mirror{{Store: store}, {Store: store}, {}, {}}
				for _, box := range boxes[:2] {
					box.BatchDelay = func() time.Duration { return 50 * time.Millisecond }
					defer start(box)()
				}
				for n := range 200 {
					changeAtRandom(random, store, n)
					to, from := boxes[random.IntN(len(boxes))], boxes[random.IntN(len(boxes))]
					sendDelta(to, from)
					sendMissing(boxes[random.IntN(len(boxes))], boxes[random.IntN(len(boxes))])
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				}
				time.Sleep(time.Second)
				for _, box := range boxes {
					sendDelta(box, boxes[0])
					sendMissing(box, boxes[0])
				}
				snapshot, err := store.Snapshot(context.Background(), "")
				Expect(err).NotTo(HaveOccurred())
				want := map[string]string{}
				for _, record := range snapshot.Records {
					want[record.Key] = string(record.Value)
				}
				for n, box := range boxes {
					Expect(box.Missing()).To(BeEmpty(), "seed %d box %d", seed, n)
					Expect(values(box.State())).To(Equal(want), "seed %d box %d", seed, n)
				}
			})
		}
	})
})

// changeAtRandom writes or removes one of a few records, short or long.
func changeAtRandom(random *rand.Rand, store kv.Store, n int) {
	key := fmt.Sprint("k", random.IntN(6))
	switch random.IntN(4) {
	case 0:
		if _, err := store.Get(context.Background(), key); err == nil {
			remove(store, key)
		}
	case 1:
		put(store, key, fmt.Sprint(longValue, n))
	default:
		put(store, key, fmt.Sprint(n))
	}
}
