package storeview

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/orderlease"
	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/mirror/mirrortest"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestStoreView(t *testing.T) { spectest.Run(t, "Store view") }

// fixture is a view on a store, with what the view passed to the owners of its parts.
type fixture struct {
	*View
	members   *cluster.Members
	directory *fleet.Directory
	tables    []*routes.Table
	forgotten []string
	logged    *observer.ObservedLogs
}

func newFixture(store kv.Store) *fixture {
	core, logged := observer.New(zap.InfoLevel)
	f := &fixture{directory: fleet.New(), logged: logged}
	f.members = cluster.NewMembers(cluster.Box{Name: "b"}, func() bool { return false })
	f.View = New(Config{
		Platform: Platform{
			Store: store, ConfigPrefix: "config", UpstreamPrefix: "servers/", OwnPrefix: "own/",
			DecodeTable: func(records map[string]kv.Record) (*routes.Table, error) {
				if string(records["config"].Value) == "bad" {
					return nil, errors.New("bad")
				}
				table := routes.New(records["config"].Revision, nil, nil, routes.Limits{})
				if string(records["config"].Value) == "shared key" {
					keys := []customers.Digest{customers.DigestOf("k")}
					table.Customers = customers.NewDirectory([]customers.Customer{{Name: "c1", Keys: keys}, {Name: "c2", Keys: keys}})
				}
				return table, nil
			},
			DecodeUpstream: func(record kv.Record) (fleet.Upstream, error) {
				if string(record.Value) == "bad" {
					return fleet.Upstream{}, errors.New("bad")
				}
				return fleet.Upstream{ID: string(record.Value), Service: "s", Revision: record.Revision}, nil
			},
		},
		Directory:  f.directory,
		Members:    f.members,
		Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy),
		CrashParts: quarantine.NewPartRegister(quarantine.DefaultPartPolicy, "box"),
		Origins:    origins.NewRegister(),
		OrderLease: orderlease.New(orderlease.Config{
			Name: "b", Store: store, OwnPrefix: "own/", TTL: 3 * time.Second,
			Peers: orderlease.Peers{Listed: f.members.Listed, FollowsRelay: f.members.FollowsRelay}, Log: zap.NewNop(),
		}),
		SetTable: func(table *routes.Table) bool {
			f.tables = append(f.tables, table)
			return true
		},
		Forget: func(upstream string) { f.forgotten = append(f.forgotten, upstream) },
		Log:    zap.New(core),
	})
	return f
}

// stateOf returns a copy of the store whose records have the given values by key, all at the given revision.
func stateOf(revision int64, records map[string]string) mirror.State {
	var list []kv.Record
	for key, value := range records {
		list = append(list, kv.Record{Key: key, Value: []byte(value), Revision: revision})
	}
	return mirror.State{Revision: revision, Records: mirrortest.Records(list...)}
}

var _ = Describe("the view of the store", func() {
	It("hands each part of the store to its owner", func() {
		f := newFixture(kv.NewMemory().Store())
		f.applyState(stateOf(3, map[string]string{
			"config": "1", "servers/e1": "e1", "own/nodes/a": `{"name":"a","address":"a:1"}`,
		}))
		Expect(f.tables).To(HaveLen(1))
		Expect(f.directory.OfService("s")).To(HaveLen(1))
		address, ok := f.members.AddressOf("a")
		Expect(ok).To(BeTrue())
		Expect(address).To(Equal("a:1"))
	})

	It("logs what it can't decode, and goes on with the rest", func() {
		f := newFixture(kv.NewMemory().Store())
		f.applyState(stateOf(3, map[string]string{
			"config": "bad", "servers/e1": "bad", "servers/e2": "e2", "own/nodes/a": "{", "own/nodes/c": `{"name":"c"}`,
		}))
		Expect(f.directory.OfService("s")).To(HaveLen(1))
		_, ok := f.members.AddressOf("c")
		Expect(ok).To(BeTrue())
		for _, text := range []string{"configuration unreadable: the former one stays in force", "upstream entry unreadable", "box record unreadable"} {
			Expect(f.logged.FilterMessage(text).Len()).To(Equal(1), text)
		}
	})

	It("names no more than 50 upstreams a second that join, and counts the others", func() {
		spectest.Bubble(func() {
			f := newFixture(kv.NewMemory().Store())
			records := map[string]string{}
			revision := int64(1)
			for round := range 40 { // 20 upstreams join per change, 80 per second.
				for n := range 20 {
					key := fmt.Sprint("e", round, "-", n)
					records["servers/"+key] = key
				}
				revision++
				f.applyState(stateOf(revision, records))
				time.Sleep(250 * time.Millisecond)
			}
			named, counted := f.logged.FilterMessage("upstream joined").Len(), int64(0)
			for _, line := range f.logged.FilterMessage("upstreams changed, too many to name").All() {
				counted += line.ContextMap()["count"].(int64)
			}
			Expect(named).To(BeNumerically("<=", 10*50))
			Expect(named + int(counted)).To(Equal(800))
		})
	})

	It("logs an unusable entry once for each reason, and uses the upstream again once its entry is readable", func() {
		f := newFixture(kv.NewMemory().Store())
		f.config.Metrics = metrics.NewSet()
		for revision, value := range []string{"e1", "bad", "bad", "bad", "e1", "bad"} {
			f.applyState(stateOf(int64(3+revision), map[string]string{"servers/e1": value, "servers/e2": "e2", "own/nodes/a": "{"}))
			Expect(f.directory.Get("e2")).NotTo(BeNil())
			Expect(f.directory.Get("e1") != nil).To(Equal(value == "e1"), "%d", revision)
		}
		Expect(f.logged.FilterMessage("upstream entry unreadable").Len()).To(Equal(2))
		Expect(f.logged.FilterMessage("box record unreadable").Len()).To(Equal(1))
		Expect(f.config.Metrics.GetOrCreateCounter(`ospreymoor_upstream_entries_unusable_total{reason="unreadable"}`).Get()).To(Equal(uint64(4)))
	})

	It("warns once of a key that two customers have", func() {
		f := newFixture(kv.NewMemory().Store())
		f.applyState(stateOf(3, map[string]string{"config": "shared key"}))
		lines := f.logged.FilterMessage("customers have a key in common, which names none of them: give each its own")
		Expect(lines.Len()).To(Equal(1))
		Expect(lines.All()[0].ContextMap()["customers"]).To(Equal([]any{"c1", "c2"}))
	})

	It("decodes a configuration once", func() {
		f := newFixture(kv.NewMemory().Store())
		state := stateOf(3, map[string]string{"config": "1"})
		f.applyState(state)
		state.Revision = 4
		f.applyState(state)
		Expect(f.tables).To(HaveLen(1))
	})

	It("calls Forget for removed upstreams", func() {
		f := newFixture(kv.NewMemory().Store())
		f.NoteChanges([]fleet.Change{
			{Kind: fleet.Joined, Upstream: fleet.Upstream{ID: "e1"}},
			{Kind: fleet.Removed, Upstream: fleet.Upstream{ID: "e2"}},
		})
		Expect(f.forgotten).To(Equal([]string{"e2"}))
	})
})

// BenchmarkRegistrations applies one changed registration of a large fleet.
func BenchmarkRegistrations(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	f := newFixture(kv.NewMemory().Store())
	records := map[string]string{}
	for n := range 295 {
		name := fmt.Sprintf("n%03d", n)
		records["own/nodes/"+name] = fmt.Sprintf(`{"name":%q,"zone":"h","address":"10.1.0.1:8504","incarnation":"5f0c9a52-3f1a-4d43-9e0e-5a4f1b6a0c11","cores":0.192}`, name)
	}
	f.applyState(stateOf(1, records))
	key := "own/nodes/n007"
	record, _ := f.lastRecords.Get(key)
	for b.Loop() {
		record.Revision++
		f.applyState(mirror.State{Revision: record.Revision, Records: mirrortest.Records(record), Changed: []string{key}})
	}
}

var _ = Describe("when the store is asked", func() {
	It("is always by the box that ranks first", func() {
		f := newFixture(kv.NewMemory().Store())
		f.members.SetRegistered([]cluster.Box{{Name: "b"}})
		Expect(f.pollTimeout()).To(Equal(firstWatcherPollTimeout))
		Expect(f.batchDelay()).To(Equal(otherBatchDelay))
		Expect(f.pollAhead()).To(BeTrue())
		f.mirror.ConfirmCurrent(0, time.Now())
		Expect(f.mayPause()).To(BeFalse())
	})
})

var _ = Describe("a box that has just started", func() {
	It("lets the boxes that start with it register before it polls again", func() {
		f := newFixture(kv.NewMemory().Store())
		Expect(f.batchDelay()).To(Equal(joinBatchDelay))
		Expect(f.pollAhead()).To(BeFalse())
		f.applyState(stateOf(3, map[string]string{"own/nodes/b": `{"name":"b","address":"b:1"}`}))
		Expect(f.batchDelay()).To(Equal(otherBatchDelay))
	})
})

var _ = Describe("the registration of a box", func() {
	It("is listed, renewed, made anew when it is lost, and ended with the box", func() {
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			registration := NewRegistration(Platform{Store: store, OwnPrefix: "own/"}, cluster.Box{Name: "b", Address: "b:1"}, zap.NewNop())
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { registration.Run(ctx); close(done) }()
			listed := func() error {
				_, err := store.Get(context.Background(), "own/nodes/b")
				return err
			}
			time.Sleep(30 * time.Second)
			synctest.Wait()
			Expect(listed()).To(Succeed())
			Expect(store.Revoke(context.Background(), registration.lease)).To(Succeed())
			Expect(listed()).To(MatchError(kv.ErrNotFound))
			time.Sleep(2 * renewalInterval)
			synctest.Wait()
			Expect(listed()).To(Succeed())
			cancel()
			<-done
			Expect(listed()).To(MatchError(kv.ErrNotFound))
		})
	})

	It("is tried again when the store fails, with one log line", func() {
		spectest.Bubble(func() {
			memory := kv.NewMemory().Store()
			store := memory
			failing := true
			store.Grant = func(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
				if failing {
					return kv.LeaseID{}, kv.ErrUnavailable
				}
				return memory.Grant(ctx, ttl)
			}
			core, logged := observer.New(zap.InfoLevel)
			registration := NewRegistration(Platform{Store: store, OwnPrefix: "own/"}, cluster.Box{Name: "b"}, zap.New(core))
			for range 5 {
				Expect(registration.attempt(context.Background())).To(Equal(registrationRetryDelay))
			}
			Expect(logged.Len()).To(Equal(1))
			failing = false
			Expect(registration.attempt(context.Background())).To(Equal(renewalInterval))
			Expect(registration.listed).To(BeTrue())
		})
	})
})

var _ = Describe("a follower of a relay", func() {
	It("polls the store when a newer copy stops arriving, and not while its copy is confirmed", func() {
		spectest.Bubble(func() {
			f := newFixture(kv.NewMemory().Store())
			boxes := []cluster.Box{{Name: "b", Address: "b:1"}}
			for n := range 20 {
				name := fmt.Sprint("a", n)
				boxes = append(boxes, cluster.Box{Name: name, Address: name + ":1"})
			}
			f.members.SetRegistered(boxes)
			Expect(f.members.FollowsRelay()).To(BeTrue())
			m := f.View.Mirror()
			Expect(f.mayPause()).To(BeFalse(), "it has no copy")
			Expect(m.ApplyDelta(mirror.Delta{Revision: 5})).To(BeTrue())
			m.ConfirmCurrent(9, time.Now())
			Expect(f.mayPause()).To(BeTrue(), "a newer copy is arriving")
			time.Sleep(maxFollowerStaleness + maxStalenessJitter)
			Expect(f.mayPause()).To(BeFalse(), "nothing arrived since")
			By("confirming its copy while a newer copy is known but has not arrived")
			Expect(m.ApplyDelta(mirror.Delta{From: 5, Revision: 9})).To(BeTrue())
			time.Sleep(10 * time.Second)
			m.ConfirmCurrent(9, time.Now())
			m.ConfirmCurrent(10, time.Now())
			Expect(f.mayPause()).To(BeTrue())
		})
	})
})
