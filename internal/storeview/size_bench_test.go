package storeview

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// changingBox is a box whose copy of the store has the entries of many upstreams. A few of them change at a time.
type changingBox struct {
	mirror    *mirror.Mirror
	upstreams int
	revision  int64
}

func newChangingBox(upstreams int) *changingBox {
	f := newFixture(kv.NewMemory().Store())
	f.config.Platform.DecodeUpstream = func(record kv.Record) (fleet.Upstream, error) {
		return fleet.Upstream{
			ID: record.Key, Service: "s", Hall: "h", Address: record.Key, Revision: record.Revision,
			Models: []fleet.Holding{{Model: "m" + record.Key[len(record.Key)-2:]}},
		}, nil
	}
	c := &changingBox{mirror: f.View.Mirror(), upstreams: upstreams}
	var all []kv.Record
	for n := range upstreams {
		all = append(all, kv.Record{Key: upstreamKey(n), Value: []byte("x"), Revision: int64(n + 1)})
	}
	c.revision = int64(upstreams)
	c.mirror.ApplyDelta(mirror.Delta{Revision: c.revision, Changed: all})
	return c
}

func upstreamKey(n int) string { return fmt.Sprintf("servers/e%05d", n) }

// change changes some entries and applies them to the box's copy.
func (c *changingBox) change(entries int) {
	delta := mirror.Delta{From: c.revision}
	for range entries {
		c.revision++
		key := upstreamKey(int(c.revision) * 7 % c.upstreams)
		delta.Changed = append(delta.Changed, kv.Record{Key: key, Value: []byte("y"), Revision: c.revision})
	}
	delta.Revision = c.revision
	c.mirror.ApplyDelta(delta)
}

// bytesOf returns how many bytes f allocates.
func bytesOf(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Each box applies the changes of all upstreams four times a second. If every change were handled as a whole new
// list, 20 changed entries of 10,000 would take 51 ms of a core and 9.4 MB on each of 986 boxes. The smallest boxes
// have a fifth of a core.
var _ = Describe("what a change of a few entries costs a box", func() {
	It("does not grow with the fleet", func() {
		cost := map[int]uint64{}
		for _, upstreams := range []int{60, 250, 1000, 4000} {
			c := newChangingBox(upstreams)
			c.change(5)
			cost[upstreams] = bytesOf(func() {
				for range 50 {
					c.change(5)
				}
			}) / 50
		}
		GinkgoWriter.Println("bytes a change of five entries, by upstreams:", cost)
		Expect(cost[1000]).To(BeNumerically("<", 2*cost[60]))
		Expect(cost[4000]).To(BeNumerically("<", 4*cost[60]))
	})

	It("does not grow with the fleet when it is passed on to other boxes, even after many entries lapsed at once", func() {
		for _, upstreams := range []int{60, 1000, 4000} {
			c := newChangingBox(upstreams)
			known := c.revision
			c.change(5)
			Expect(c.mirror.DeltaSince(known, 8192).Changed).To(HaveLen(5))
			lapsed := mirror.Delta{From: c.revision, Revision: c.revision + 1}
			for n := range upstreams / 3 {
				lapsed.Removed = append(lapsed.Removed, upstreamKey(n))
			}
			known = c.revision
			c.mirror.ApplyDelta(lapsed)
			delta := c.mirror.DeltaSince(known, 8192)
			Expect(delta.HasAllKeys).To(BeFalse(), "the delta lists all keys")
			Expect(delta.Removed).To(HaveLen(upstreams / 3))
		}
	})
})

// entryOf returns an engine's entry as decoding returns it, with strings that it shares with no other entry.
func entryOf(record kv.Record) fleet.Upstream {
	n := record.Revision
	name := func(kind string, n int64) string { return fmt.Sprint(kind, n) }
	return fleet.Upstream{
		ID: fleet.IncarnationID(record.Key, 1771376890000+n), Service: name("llm", 1), Hall: name("h", n%7), Address: fmt.Sprintf("10.0.%d.%d:8501", n/250, n%250),
		Slots: 64, Revision: n,
		Models: []fleet.Holding{
			{Model: name("m", n%440), Adapters: append(make([]string, 0, 4), name("a", n%100), name("a", n%101))},
			{Model: name("m", n%439)}, {Model: name("m", n%438)},
		},
		InMemory: append(make([]string, 0, 4), name("m", n%440), name("m", n%439)),
		OnDisk:   append(make([]string, 0, 4), name("m", n%440), name("m", n%439), name("m", n%438), name("m", n%437)),
	}
}

// A box has 64 MB of memory for its control, for up to 20,000 upstreams. Half of it is left for garbage that is not
// yet collected. Entries took 2,450 bytes each when every name was a copy of its own and kept twice, with a map for
// each engine.
var _ = Describe("the memory that an upstream takes of a box", func() {
	It("leaves room for 20,000", func() {
		const upstreams = 4000
		live := func() uint64 {
			runtime.GC()
			runtime.GC()
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			return stats.HeapAlloc
		}
		f := newFixture(kv.NewMemory().Store())
		f.config.Log = zap.NewNop() // The log observer of the fixture would keep each line.
		f.config.Platform.DecodeUpstream = func(record kv.Record) (fleet.Upstream, error) { return entryOf(record), nil }
		before := live()
		for revision := int64(0); revision < upstreams; {
			delta := mirror.Delta{From: revision}
			for range 50 {
				revision++
				delta.Changed = append(delta.Changed, kv.Record{Key: upstreamKey(int(revision)), Value: make([]byte, 450), Revision: revision})
			}
			delta.Revision = revision
			f.View.Mirror().ApplyDelta(delta)
		}
		taken := (live() - before) / upstreams
		GinkgoWriter.Println("bytes an upstream:", taken)
		Expect(f.config.Directory.OfService("llm1")).To(HaveLen(upstreams))
		Expect(taken).To(BeNumerically("<", 32<<20/20000))
	})
})

// BenchmarkChange measures what one box does for 20 changed entries of a fleet.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{60, 600, 3000, 10000} {
		b.Run(fmt.Sprint(size, " upstreams"), func(b *testing.B) {
			c := newChangingBox(size)
			b.ReportAllocs()
			for b.Loop() {
				c.change(20)
			}
		})
	}
}

// BenchmarkDelta measures what a relay does for one box of its hall, for 20 changed entries.
func BenchmarkDelta(b *testing.B) {
	for _, size := range []int{60, 600, 3000, 10000} {
		b.Run(fmt.Sprint(size, " upstreams"), func(b *testing.B) {
			m := newChangingBox(size).mirror
			b.ReportAllocs()
			for b.Loop() {
				m.DeltaSince(int64(size-20), 8192)
			}
		})
	}
}
