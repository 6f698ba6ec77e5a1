package storeview

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("the store's records of where streams began", func() {
	record := func(n int) origins.Record {
		return origins.Record{Stream: origins.Stream(n), Origin: origins.Origin{Service: "s", Version: "v1"}}
	}
	// running runs f while a recorder runs on a store in memory.
	running := func(f func(r *OriginRecorder, memory *kv.Memory)) {
		spectest.Bubble(func() {
			memory := kv.NewMemory()
			r := &OriginRecorder{Platform: Platform{Store: memory.Store(), OwnPrefix: "own/"}, Incarnation: "i", Log: zap.NewNop()}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { r.Run(ctx); close(done) }()
			f(r, memory)
			stop()
			<-done
		})
	}
	stored := func(memory *kv.Memory) (streams, keys int) {
		records, err := memory.Store().List(context.Background(), "own/origins/")
		Expect(err).NotTo(HaveOccurred())
		for _, record := range records {
			var segment origins.Segment
			Expect(json.Unmarshal(record.Value, &segment)).To(Succeed())
			unpacked, err := segment.Records()
			Expect(err).NotTo(HaveOccurred())
			streams += len(unpacked)
		}
		return streams, len(records)
	}

	It("are written within a tenth of a second, ten times a second at most, and few to a key", func() {
		running(func(r *OriginRecorder, memory *kv.Memory) {
			before := memory.Revision()
			for n := range 200 {
				r.Add([]origins.Record{record(n)})
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(originSaveInterval)
			streams, keys := stored(memory)
			Expect(streams).To(Equal(200))
			Expect(keys).To(BeNumerically("<=", 3))
			Expect(memory.Revision() - before).To(BeNumerically("<=", 22))
		})
	})

	It("last for their retention, and no longer than a minute more", func() {
		running(func(r *OriginRecorder, memory *kv.Memory) {
			for n := range 60 { // A lease is used for a minute.
				r.Add([]origins.Record{record(n)})
				time.Sleep(time.Second)
			}
			time.Sleep(origins.Retention - time.Second)
			streams, _ := stored(memory)
			Expect(streams).To(BeNumerically(">=", 1))
			time.Sleep(originLeaseAge + time.Second)
			streams, _ = stored(memory)
			Expect(streams).To(BeZero())
		})
	})

	It("are written again after the store came back from a copy", func() {
		running(func(r *OriginRecorder, memory *kv.Memory) {
			r.Add([]origins.Record{record(1)})
			time.Sleep(time.Second)
			checkpoint := memory.Checkpoint()
			r.Add([]origins.Record{record(2), record(3)})
			time.Sleep(time.Second)
			memory.Restore(checkpoint)
			time.Sleep(time.Second)
			r.Add([]origins.Record{record(4)})
			time.Sleep(time.Second)
			found := map[origins.Stream]bool{}
			records, err := memory.Store().List(context.Background(), "own/origins/")
			Expect(err).NotTo(HaveOccurred())
			for _, record := range records {
				var segment origins.Segment
				Expect(json.Unmarshal(record.Value, &segment)).To(Succeed())
				unpacked, _ := segment.Records()
				for _, one := range unpacked {
					found[one.Stream] = true
				}
			}
			Expect(found).To(HaveLen(4))
		})
	})

	It("wait while the store fails, the latest ones where there are too many", func() {
		spectest.Bubble(func() {
			memory := kv.NewMemory()
			store := memory.Store()
			var works atomic.Bool
			failing := store
			failing.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
				if !works.Load() {
					return kv.Record{}, kv.ErrUnknown
				}
				return store.Swap(ctx, swap)
			}
			r := &OriginRecorder{Platform: Platform{Store: failing, OwnPrefix: "own/"}, Incarnation: "i", Log: zap.NewNop()}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { r.Run(ctx); close(done) }()
			for n := range 3 * maxUnwritten {
				r.Add([]origins.Record{record(n)})
			}
			time.Sleep(10 * time.Second)
			Expect(r.Dropped()).To(BeNumerically(">=", 2*maxUnwritten))
			works.Store(true)
			time.Sleep(10 * time.Second)
			streams, _ := stored(memory)
			Expect(streams).To(BeNumerically("~", maxUnwritten, maxRecordsPerWrite))
			stop()
			<-done
		})
	})

	It("are applied with the versions that they name, and unreadable ones are passed over", func() {
		f := newFixture(kv.NewMemory().Store())
		packed, err := json.Marshal(origins.NewSegment([]origins.Record{record(1), {Stream: 2, Origin: origins.Origin{Service: "s", Version: "v2"}}}))
		Expect(err).NotTo(HaveOccurred())
		f.applyState(stateOf(3, map[string]string{
			"own/origins/a": string(packed), "own/origins/b": "no JSON", "own/origins/c": `{"origins":[],"streams":"AAAA"}`,
			"own/origins/d": `{"origins":[],"streams":"AAAAAAAAAAAA"}`, "own/origins/e": strings.Repeat("x", 1000),
		}))
		found, _ := f.config.Origins.Find(1)
		Expect(found).To(ConsistOf(origins.Origin{Service: "s", Version: "v1"}))
		Expect(f.directory.MixedServices()).To(Equal([]string{"s"}))
		Expect(f.logged.FilterMessage("origins of streams unreadable").Len()).To(Equal(4))
	})

	It("are known before the list of upstreams, with which callers take streams up", func() {
		f := newFixture(kv.NewMemory().Store())
		packed, err := json.Marshal(origins.NewSegment([]origins.Record{record(1)}))
		Expect(err).NotTo(HaveOccurred())
		f.config.SetTable = func(*routes.Table) bool {
			found, _ := f.config.Origins.Find(1)
			Expect(found).NotTo(BeEmpty())
			return true
		}
		f.applyState(stateOf(3, map[string]string{"config": "1", "servers/e1": "e1", "own/origins/a": string(packed)}))
		Expect(f.directory.Revision()).To(Equal(int64(3)))
	})
})
