package storeview

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/mirror/mirrortest"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("the view of a store that came back from a copy", func() {
	// stateAt returns a copy of the store at a revision of an epoch.
	stateAt := func(epoch, sequence int64, records map[string]string) mirror.State {
		state := stateOf(kv.RevisionAt(epoch, sequence), records)
		for key := range records {
			state.Changed = append(state.Changed, key)
		}
		return state
	}

	It("logs once from which epoch and revision to which it came, and what was lost", func() {
		f := newFixture(kv.NewMemory().Store())
		f.config.Metrics = metrics.NewSet()
		f.applyState(stateAt(1, 80, map[string]string{"servers/e1": "e1", "servers/e2": "e2", "config": "1"}))
		restored := stateAt(2, 60, map[string]string{"servers/e1": "e1", "servers/e3": "e3", "config": "0"})
		restored.Changed = append(restored.Changed, "servers/e2")
		f.applyState(restored)
		f.applyState(stateAt(2, 61, map[string]string{"servers/e1": "e1"}))
		lines := f.logged.FilterMessage("store came back from a copy")
		Expect(lines.Len()).To(Equal(1))
		fields := lines.All()[0].ContextMap()
		for name, want := range map[string]int64{"fromEpoch": 1, "fromRevision": 80, "epoch": 2, "revision": 60, "lost": 1, "changed": 1, "returned": 1} {
			Expect(fields[name]).To(Equal(want), name)
		}
		Expect(f.config.Metrics.GetOrCreateCounter("ospreymoor_store_restores_total").Get()).To(Equal(uint64(1)))
	})

	It("uses an upstream whose entry was lost", func() {
		f := newFixture(kv.NewMemory().Store())
		f.applyState(stateAt(1, 80, map[string]string{"servers/e1": "e1"}))
		f.applyState(mirror.State{Revision: kv.RevisionAt(2, 60), Changed: []string{"servers/e1"}, Records: mirrortest.Records()})
		Expect(f.directory.Get("e1").Usable(time.Now())).To(BeTrue())
	})

	It("keeps a hall evacuated whose key was lost, until that is written and removed again, or for a while", func() {
		for _, writes := range []bool{true, false} {
			spectest.Bubble(func() {
				f := newFixture(kv.NewMemory().Store())
				f.config.Platform.EvacuationPrefix = "evacuate/"
				f.applyState(stateAt(1, 80, map[string]string{"evacuate/h": "{}"}))
				lost := mirror.State{Revision: kv.RevisionAt(2, 60), Changed: []string{"evacuate/h"}, Records: mirrortest.Records()}
				f.applyState(lost)
				time.Sleep(lostEvacuationGrace / 2)
				f.EndLostEvacuations()
				Expect(f.evacuatedHalls.Load()).To(Equal(int64(1)))
				if writes {
					f.applyState(stateAt(2, 61, map[string]string{"evacuate/h": "{}"}))
				}
				time.Sleep(lostEvacuationGrace)
				f.EndLostEvacuations()
				Expect(f.evacuatedHalls.Load() == 1).To(Equal(writes))
				lost.Revision = kv.RevisionAt(2, 62)
				f.applyState(lost)
				Expect(f.evacuatedHalls.Load()).To(BeZero())
			})
		}
	})

	It("puts no older configuration in force, and one whose version was given out again with another text", func() {
		f := newFixture(kv.NewMemory().Store())
		var inForce *routes.Table
		f.config.SetTable = func(table *routes.Table) bool {
			if inForce != nil && !table.Replaces(inForce) {
				return false
			}
			inForce = table
			return true
		}
		f.config.Platform.DecodeTable = func(records map[string]kv.Record) (*routes.Table, error) {
			var message struct{ Version int64 }
			err := json.Unmarshal(records["config"].Value, &message)
			return routes.New(message.Version, nil, nil, routes.Limits{}), err
		}
		apply := func(epoch, sequence int64, config string) int64 {
			before := inForce
			f.applyState(stateAt(epoch, sequence, map[string]string{"config": config}))
			if inForce == before {
				return 0
			}
			return inForce.Version
		}
		Expect(apply(1, 80, `{"version":26}`)).To(Equal(int64(26)))
		Expect(apply(2, 60, `{"version":22}`)).To(BeZero(), "older than what is in force")
		Expect(apply(2, 61, `{"version":26}`)).To(BeZero(), "the same text")
		Expect(apply(2, 62, `{"version":26, "other": 1}`)).To(Equal(int64(26)))
		Expect(apply(2, 63, `{"version":26, "other": 2}`)).To(BeZero(), "without a return in between")
		Expect(apply(2, 64, `{"version":28}`)).To(Equal(int64(28)))
	})
})

var _ = Describe("a state that another box read after the store came back from a copy", func() {
	It("has its epoch noted by this box's client of the store, which may end leases before it calls the store again", func() {
		store := kv.NewMemory().Store()
		var noted []int64
		store.NoteEpoch = func(epoch int64) { noted = append(noted, epoch) }
		f := newFixture(store)
		f.applyState(stateOf(kv.RevisionAt(1, 7), map[string]string{"config": "1"}))
		f.applyState(stateOf(kv.RevisionAt(2, 3), map[string]string{"config": "1"}))
		Expect(noted).To(Equal([]int64{1, 2}))
	})
})

var _ = Describe("what boxes wrote themselves, when the store came back from a copy", func() {
	It("a registration is written again whether or not the store still has it, and at a pace that the store allows", func() {
		for _, keeps := range []bool{true, false} {
			spectest.Bubble(func() {
				const boxes = 300
				memory := kv.NewMemory()
				var writes, mostWrites atomic.Int64
				store := memory.Store()
				swap := store.Swap
				store.Swap = func(ctx context.Context, change kv.Swap) (kv.Record, error) {
					mostWrites.Store(max(mostWrites.Load(), writes.Add(2))) // Each comes with the grant of its lease.
					time.AfterFunc(time.Second, func() { writes.Add(-2) })
					return swap(ctx, change)
				}
				ctx, cancel := context.WithCancel(context.Background())
				checkpoint := memory.Checkpoint()
				for n := range boxes {
					r := NewRegistration(Platform{Store: store, OwnPrefix: "own/"}, cluster.Box{Name: fmt.Sprint(n)}, zap.NewNop())
					r.Boxes = func() int { return boxes }
					go r.Run(ctx)
				}
				time.Sleep(5 * time.Second)
				if keeps {
					checkpoint = memory.Checkpoint()
				}
				mostWrites.Store(0)
				memory.Restore(checkpoint)
				listed := func() int {
					list, err := store.List(context.Background(), "own/nodes/")
					Expect(err).NotTo(HaveOccurred())
					return len(list)
				}
				time.Sleep(renewalInterval + boxes*registrationPace)
				Expect(listed()).To(Equal(boxes))
				Expect(mostWrites.Load()).To(BeNumerically("<=", 200), "writes in a second, keeps: %v", keeps)
				time.Sleep(registrationTTL)
				Expect(listed()).To(Equal(boxes))
				cancel()
				time.Sleep(time.Second)
				Expect(listed()).To(BeZero())
			})
		}
	})

	It("the record of a held request is written again", func() {
		spectest.Bubble(func() {
			memory := kv.NewMemory()
			store := memory.Store()
			register := quarantine.NewRegister(quarantine.DefaultPolicy)
			request := quarantine.Content{URI: "/x"}
			h := &HoldRecorder{
				Platform: Platform{Store: store, OwnPrefix: "own/"}, Quarantine: register, Log: zap.NewNop(),
				Records: func() mirror.State {
					snapshot, err := store.Snapshot(context.Background(), "")
					Expect(err).NotTo(HaveOccurred())
					return mirror.State{Records: mirrortest.Records(snapshot.Records...)}
				},
				IsResponsible: func(string) bool { return true },
			}
			checkpoint := memory.Checkpoint()
			ctx, cancel := context.WithCancel(context.Background())
			go h.Run(ctx)
			for _, upstream := range []string{"e1", "e2"} {
				time.Sleep(100 * time.Millisecond)
				register.NoteCrash(request.Fingerprint(), upstream, time.Now())
			}
			key := "own/quarantine/" + request.Fingerprint().String()
			time.Sleep(time.Second)
			_, err := store.Get(ctx, key)
			Expect(err).NotTo(HaveOccurred())
			memory.Restore(checkpoint)
			time.Sleep(time.Second)
			_, err = store.Get(ctx, key)
			Expect(err).NotTo(HaveOccurred())
			cancel()
			time.Sleep(time.Second)
		})
	})

	It("the record of a held part of prompts is written again, and it stays held meanwhile", func() {
		spectest.Bubble(func() {
			memory := kv.NewMemory()
			store := memory.Store()
			register := quarantine.NewPartRegister(quarantine.DefaultPartPolicy, "box")
			parts := []quarantine.Fingerprint{quarantine.PartFingerprint("p1")}
			h := &HoldRecorder{
				Platform: Platform{Store: store, OwnPrefix: "own/"}, Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy),
				CrashParts: register, Log: zap.NewNop(), IsResponsible: func(string) bool { return true },
				Records: func() mirror.State {
					snapshot, err := store.Snapshot(context.Background(), "")
					Expect(err).NotTo(HaveOccurred())
					return mirror.State{Records: mirrortest.Records(snapshot.Records...)}
				},
			}
			checkpoint := memory.Checkpoint()
			ctx, cancel := context.WithCancel(context.Background())
			go h.Run(ctx)
			for _, upstream := range []string{"e1", "e2", "e3"} {
				time.Sleep(100 * time.Millisecond)
				register.NoteCrash(upstream, time.Now(), parts)
			}
			key := "own/quarantine-parts/" + parts[0].String()
			time.Sleep(time.Second)
			memory.Restore(checkpoint)
			_, err := store.Get(ctx, key)
			Expect(err).To(MatchError(kv.ErrNotFound))
			time.Sleep(time.Second)
			_, err = store.Get(ctx, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(register.Verdict(parts).Held).To(BeTrue())
			cancel()
			time.Sleep(time.Second)
		})
	})
})
