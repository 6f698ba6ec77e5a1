package storeview

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/mirror/mirrortest"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("the records of requests that are held", func() {
	content := quarantine.Content{URI: "/x"}
	request := content.Fingerprint()
	key := "own/quarantine/" + request.String()
	// recorder returns a recorder on a store in memory, with a copy that is always current, and the store.
	recorder := func(responsible bool) (*HoldRecorder, kv.Store) {
		store := kv.NewMemory().Store()
		return &HoldRecorder{
			Platform: Platform{Store: store, OwnPrefix: "own/"}, Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy),
			CrashParts: quarantine.NewPartRegister(quarantine.DefaultPartPolicy, "box"),
			Records: func() mirror.State {
				snapshot, err := store.Snapshot(context.Background(), "")
				Expect(err).NotTo(HaveOccurred())
				return mirror.State{Records: mirrortest.Records(snapshot.Records...)}
			},
			IsResponsible: func(string) bool { return responsible },
			Log:           zap.NewNop(),
		}, store
	}
	value := func(store kv.Store) string {
		record, err := store.Get(context.Background(), key)
		if err != nil {
			Expect(err).To(MatchError(kv.ErrNotFound))
		}
		return string(record.Value)
	}
	// running runs f while a recorder runs.
	running := func(h *HoldRecorder, f func()) {
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { h.Run(ctx); close(done) }()
		f()
		stop()
		<-done
	}
	crash := func(r *quarantine.Register, upstreams ...string) {
		for _, upstream := range upstreams {
			time.Sleep(100 * time.Millisecond)
			r.NoteCrash(request, upstream, time.Now())
		}
	}

	It("are written soon, follow further crashes, and end with the hold", func() {
		spectest.Bubble(func() {
			h, store := recorder(true)
			running(h, func() {
				crash(h.Quarantine, "e1", "e2")
				time.Sleep(2 * holdCheckInterval)
				Expect(value(store)).To(Equal(`{"crashes":2}`))
				crash(h.Quarantine, "e3")
				time.Sleep(2 * holdCheckInterval)
				Expect(value(store)).To(Equal(`{"crashes":3}`))
				time.Sleep(9 * time.Minute)
				Expect(value(store)).To(Equal(`{"crashes":3}`))
				time.Sleep(time.Minute)
				Expect(value(store)).To(BeEmpty())
			})
		})
	})

	It("are written by a box that saw a crash if the responsible box does not write them", func() {
		spectest.Bubble(func() {
			h, store := recorder(false)
			running(h, func() {
				crash(h.Quarantine, "e1", "e2")
				time.Sleep(time.Second)
				Expect(value(store)).To(BeEmpty())
				time.Sleep(witnessDelay)
				Expect(value(store)).To(Equal(`{"crashes":2}`))
			})
		})
	})

	It("are tried again each second while the store is away, with one log line", func() {
		spectest.Bubble(func() {
			h, store := recorder(true)
			core, lines := observer.New(zap.InfoLevel)
			h.Log = zap.New(core)
			var calls atomic.Int64
			var back atomic.Bool
			h.Platform.Store.Grant = func(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
				calls.Add(1)
				if back.Load() {
					return store.Grant(ctx, ttl)
				}
				return kv.LeaseID{}, kv.ErrUnavailable
			}
			running(h, func() {
				crash(h.Quarantine, "e1", "e2")
				time.Sleep(10 * time.Second)
				Expect(calls.Load()).To(BeNumerically("~", 10, 1))
				Expect(lines.Len()).To(Equal(1))
				back.Store(true)
				time.Sleep(2 * holdRetryDelay)
				Expect(value(store)).To(Equal(`{"crashes":2}`))
			})
		})
	})

	It("hold the request on a box that starts, and unreadable ones do not affect the others", func() {
		f := newFixture(kv.NewMemory().Store())
		f.applyState(stateOf(3, map[string]string{
			key: `{"crashes":3}`, "own/quarantine/0011223344556677": "{", "own/quarantine/nothing": `{"crashes":3}`,
		}))
		Expect(f.config.Quarantine.Verdict(request).Held).To(BeTrue())
		Expect(f.config.Quarantine.Counts()).To(Equal(quarantine.Counts{Held: 1}))
		Expect(f.logged.FilterMessage("record of a held request unreadable").Len()).To(Equal(2))
	})

	part := quarantine.PartFingerprint("p1")
	partKey := "own/quarantine-parts/" + part.String()
	partValue := func(store kv.Store) string {
		record, err := store.Get(context.Background(), partKey)
		if err != nil {
			Expect(err).To(MatchError(kv.ErrNotFound))
		}
		return string(record.Value)
	}
	crashPart := func(r *quarantine.PartRegister, upstreams ...string) {
		for _, upstream := range upstreams {
			time.Sleep(100 * time.Millisecond)
			r.NoteCrash(upstream, time.Now(), []quarantine.Fingerprint{part})
		}
	}

	It("of a part of prompts are written as well, and deleted once the part turns out to be sound", func() {
		spectest.Bubble(func() {
			h, store := recorder(true)
			running(h, func() {
				crashPart(h.CrashParts, "e1", "e2", "e3")
				time.Sleep(2 * holdCheckInterval)
				Expect(partValue(store)).To(Equal(`{"crashes":3}`))
				time.Sleep(30 * time.Second)
				Expect(partValue(store)).To(Equal(`{"crashes":3}`))
				h.CrashParts.NoteAnswered([]quarantine.Fingerprint{part}, time.Now())
				time.Sleep(2 * holdCheckInterval)
				Expect(partValue(store)).To(BeEmpty())
			})
		})
	})

	It("of a part of prompts name the holds before, and end with the longest hold of a box", func() {
		spectest.Bubble(func() {
			h, store := recorder(true)
			running(h, func() {
				crashPart(h.CrashParts, "e1", "e2", "e3")
				time.Sleep(2 * time.Minute)
				Expect(partValue(store)).To(BeEmpty())
				crashPart(h.CrashParts, "e4")
				time.Sleep(2 * holdCheckInterval)
				Expect(partValue(store)).To(Equal(`{"crashes":4,"level":1}`))
			})
		})
	})

	It("hold a part of prompts on a box that starts, until an operator lifts the hold", func() {
		f := newFixture(kv.NewMemory().Store())
		parts := []quarantine.Fingerprint{part}
		records := map[string]string{partKey: `{"crashes":3}`, "own/quarantine-lifted/" + part.String(): ""}
		f.applyState(stateOf(3, records))
		Expect(f.config.CrashParts.Verdict(parts).Held).To(BeTrue(), "a lift that is older than the hold")
		records["own/quarantine-lifted/"+part.String()] = "again"
		f.applyState(stateOf(4, records))
		Expect(f.config.CrashParts.Verdict(parts)).To(BeZero())
	})
})
