package mirror_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestMirror(t *testing.T) { spectest.Run(t, "Mirror") }

// start runs a mirror, and returns a function that stops it and waits for its end.
func start(m *mirror.Mirror) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	return func() {
		cancel()
		<-done
	}
}

func remove(store kv.Store, key string) {
	record, err := store.Get(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	Expect(store.Delete(context.Background(), key, record.Revision)).To(Succeed())
}

func put(store kv.Store, key, value string) {
	current, _ := store.Get(context.Background(), key)
	_, err := store.Swap(context.Background(), kv.Swap{Key: key, Revision: current.Revision, Value: []byte(value)})
	Expect(err).NotTo(HaveOccurred())
}

func values(state mirror.State) map[string]string {
	all := map[string]string{}
	for key, record := range state.Records.All() {
		all[key] = string(record.Value)
	}
	return all
}

var _ = Describe("a mirror", func() {
	It("follows changes and removals, however slowly it takes them", func() {
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			m := &mirror.Mirror{Store: store, BatchDelay: func() time.Duration { return 300 * time.Millisecond }}
			stop := start(m)
			for n := range 50 {
				put(store, fmt.Sprint("k", n%10), fmt.Sprint(n))
				time.Sleep(20 * time.Millisecond)
			}
			remove(store, "k3")
			// Changes must not queue up behind one another: one batch has all changes of its delay.
			time.Sleep(700 * time.Millisecond)
			Expect(values(m.State())).To(HaveLen(9))
			Expect(values(m.State())["k9"]).To(Equal("49"))
			stop()
		})
	})

	It("takes a peer's newer copy while the service is away, and never an older one", func() {
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			put(store, "a", "1")
			put(store, "b", "1")
			peer := &mirror.Mirror{Store: store}
			defer start(peer)()
			synctest.Wait()
			Expect(peer.State().Records.Len()).To(Equal(2))
			mine := &mirror.Mirror{}
			Expect(mine.ApplyDelta(*peer.DeltaSince(0, math.MaxInt))).To(BeTrue())
			old := *peer.DeltaSince(0, math.MaxInt)
			put(store, "a", "2")
			remove(store, "b")
			synctest.Wait()
			Expect(values(peer.State())).To(Equal(map[string]string{"a": "2"}))
			delta := peer.DeltaSince(mine.State().Revision, math.MaxInt)
			Expect(delta.Changed).To(HaveLen(1))
			Expect(mine.ApplyDelta(*delta)).To(BeTrue())
			Expect(values(mine.State())).To(Equal(map[string]string{"a": "2"}))
			Expect(mine.ApplyDelta(old)).To(BeFalse())
			Expect(peer.DeltaSince(peer.State().Revision, math.MaxInt)).To(BeNil())
		})
	})

	It("refuses a delta for a copy that is newer than its own", func() {
		m := &mirror.Mirror{}
		Expect(m.ApplyDelta(mirror.Delta{From: 5, Revision: 9, HasAllKeys: true, Keys: []string{"a"}})).To(BeFalse())
		Expect(m.State().Revision).To(BeZero())
	})

	It("names only the removals, also of keys that were created again and after many of them", func() {
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			put(store, "a", "1")
			put(store, "b", "1")
			m := &mirror.Mirror{Store: store}
			stop := start(m)
			synctest.Wait()
			early := &mirror.Mirror{}
			Expect(early.ApplyDelta(*m.DeltaSince(0, math.MaxInt))).To(BeTrue())
			lagging := &mirror.Mirror{}
			Expect(lagging.ApplyDelta(*m.DeltaSince(0, math.MaxInt))).To(BeTrue())
			remove(store, "a")
			remove(store, "b")
			put(store, "b", "2")
			synctest.Wait()
			delta := m.DeltaSince(early.State().Revision, math.MaxInt)
			Expect(delta.HasAllKeys).To(BeFalse())
			Expect(delta.Removed).To(Equal([]string{"a"}))
			Expect(early.ApplyDelta(*delta)).To(BeTrue())
			Expect(values(early.State())).To(Equal(map[string]string{"b": "2"}))
			for n := range 1500 {
				put(store, fmt.Sprint("k", n), "1")
				remove(store, fmt.Sprint("k", n))
			}
			synctest.Wait()
			delta = m.DeltaSince(lagging.State().Revision, math.MaxInt)
			Expect(delta.HasAllKeys).To(BeTrue())
			Expect(lagging.ApplyDelta(*delta)).To(BeTrue())
			Expect(values(lagging.State())).To(Equal(map[string]string{"b": "2"}))
			stop()
		})
	})

	It("asks the store nothing while it is paused, and goes on from where peers brought it", func() {
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			put(store, "a", "1")
			var calls atomic.Int64
			counted := store
			counted.Snapshot = func(ctx context.Context, prefix string) (kv.Snapshot, error) {
				calls.Add(1)
				return store.Snapshot(ctx, prefix)
			}
			counted.Watch = func(ctx context.Context, watching kv.WatchOptions) (<-chan []kv.Event, error) {
				calls.Add(1)
				return store.Watch(ctx, watching)
			}
			var paused atomic.Bool
			paused.Store(true)
			m := &mirror.Mirror{Store: counted, Paused: paused.Load}
			stop := start(m)
			time.Sleep(time.Second)
			Expect(values(m.State())).To(Equal(map[string]string{"a": "1"}), "a mirror without a copy does not pause")
			put(store, "a", "2")
			time.Sleep(time.Second)
			Expect(values(m.State())).To(Equal(map[string]string{"a": "1"}), "its first copy is enough")
			Expect(calls.Load()).To(Equal(int64(1)))
			calls.Store(0)
			put(store, "a", "3")
			time.Sleep(time.Minute)
			Expect(calls.Load()).To(BeZero())
			Expect(m.Staleness()).To(BeNumerically(">", 50*time.Second))
			peer := &mirror.Mirror{Store: store}
			stopPeer := start(peer)
			synctest.Wait()
			stopPeer()
			Expect(m.ApplyDelta(*peer.DeltaSince(m.State().Revision, math.MaxInt))).To(BeTrue())
			m.ConfirmCurrent(peer.State().Revision, time.Now())
			Expect(m.Staleness()).To(BeZero())
			m.ConfirmCurrent(peer.State().Revision+1, time.Now().Add(time.Hour))
			Expect(m.Staleness()).To(BeZero())
			put(store, "b", "1")
			paused.Store(false)
			time.Sleep(time.Second)
			Expect(values(m.State())).To(Equal(map[string]string{"a": "3", "b": "1"}))
			Expect(calls.Load()).To(Equal(int64(1)), "it watches from the revision that the delta brought it to")
			stop()
		})
	})

	It("counts a confirmation of a later revision once it has reached it, with the time of the confirmation", func() {
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			put(store, "a", "1")
			m := &mirror.Mirror{Store: store}
			stop := start(m)
			synctest.Wait()
			stop()
			put(store, "a", "2")
			newer := &mirror.Mirror{Store: store}
			stopNewer := start(newer)
			synctest.Wait()
			stopNewer()
			time.Sleep(time.Second)
			for later := range 20 { // Confirmations of later revisions must not displace it.
				m.ConfirmCurrent(newer.State().Revision+int64(later), time.Now())
			}
			Expect(m.Staleness()).To(Equal(time.Second))
			time.Sleep(time.Second)
			Expect(m.ApplyDelta(*newer.DeltaSince(m.State().Revision, math.MaxInt))).To(BeTrue())
			Expect(m.Staleness()).To(Equal(time.Second))
		})
	})

	It("ends at the store's state under lost calls and broken watches", func() {
		for seed := range uint64(20) {
			spectest.Bubble(func() {
				random := rand.New(rand.NewPCG(seed, 1))
				// The mirror's goroutine has a random source of its own.
				faults := rand.New(rand.NewPCG(seed, 2))
				store := kv.NewMemory().Store()
				unreliable := store
				unreliable.Snapshot = func(ctx context.Context, prefix string) (kv.Snapshot, error) {
					if faults.IntN(2) == 0 {
						return kv.Snapshot{}, kv.ErrUnavailable
					}
					return store.Snapshot(ctx, prefix)
				}
				unreliable.Watch = func(ctx context.Context, watching kv.WatchOptions) (<-chan []kv.Event, error) {
					span := time.Duration(faults.IntN(300)) * time.Millisecond
					ctx, cancel := context.WithTimeout(ctx, span)
					time.AfterFunc(span, cancel)
					return store.Watch(ctx, watching)
				}
				m := &mirror.Mirror{Store: unreliable}
				stop := start(m)
				for n := range 100 {
					put(store, fmt.Sprint("k", random.IntN(8)), fmt.Sprint(n))
					time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
				}
				time.Sleep(time.Minute) // A series of failed reads may be long: seed 9 has thirteen.
				snapshot, _ := store.Snapshot(context.Background(), "")
				want := map[string]string{}
				for _, record := range snapshot.Records {
					want[record.Key] = string(record.Value)
				}
				Expect(values(m.State())).To(Equal(want), "seed %d", seed)
				stop()
			})
		}
	})
})
