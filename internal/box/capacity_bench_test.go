package box

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

// idleMeasureTime is how long an idle fleet is measured.
const idleMeasureTime = 10 * time.Second

// BenchmarkCapacityAtRest measures what control costs in a fleet that serves no requests: per box the bytes
// exchanged with peers, processor time and memory, and for the fleet the calls of the key-value service. Processor
// time includes that of the stand-ins.
//
//	go test -run '^$' -bench CapacityAtRest -benchtime 1x ./internal/box
func BenchmarkCapacityAtRest(b *testing.B) {
	for _, size := range []struct{ halls, boxes, engines int }{
		{2, 2, 2}, {2, 4, 2}, {2, 8, 2}, // Cost per added box of a hall.
		{2, 2, 8}, {2, 2, 32}, {2, 2, 64}, // Cost per added engine.
		{4, 2, 2}, {7, 2, 2}, {7, 8, 2}, // Cost per added hall.
	} {
		name := fmt.Sprintf("halls=%d/boxes=%d/engines=%d", size.halls, size.halls*size.boxes, size.halls*size.engines)
		b.Run(name, func(b *testing.B) { measureIdle(b, size.halls, size.boxes, size.engines) })
	}
}

// servingFleet starts a fleet on the real clock, with the given boxes and engines in each hall, and waits until its
// models answer.
func servingFleet(b *testing.B, halls, boxes, engines int, models ...string) *testFleet {
	RegisterTestingT(b)
	t := newTestFleet(fleetSpec{halls: halls, boxes: boxes, engines: engines, memory: 64 * gib})
	b.Cleanup(t.close)
	t.roll(t.boxes["h1-b1"], bundleText(1, "a", "1GiB", models...))
	t.awaitModels(models...)
	return t
}

func measureIdle(b *testing.B, halls, boxes, engines int) {
	before := heapBytes()
	t := servingFleet(b, halls, boxes, engines, "m1", "m2", "m3", "m4")
	time.Sleep(15 * time.Second) // All replicas are loaded by then.
	calls, out, in, cpu := t.platformCalls.counts(), t.peerBytes("out"), t.peerBytes("in"), cpuTime()
	time.Sleep(idleMeasureTime)
	n, seconds := float64(len(t.boxes)), idleMeasureTime.Seconds()
	b.ReportMetric((t.peerBytes("out")-out)/n/seconds, "outB/s/box")
	b.ReportMetric((t.peerBytes("in")-in)/n/seconds, "inB/s/box")
	b.ReportMetric((cpuTime()-cpu).Seconds()/n/seconds*100, "core%/box")
	reads, writes := callsSince(t.platformCalls.counts(), calls)
	b.ReportMetric(reads/seconds, "kvreads/s")
	b.ReportMetric(writes/seconds, "kvwrites/s")
	b.ReportMetric((heapBytes()-before)/n/(1<<20), "MB/box")
}

// BenchmarkCapacityChange measures the key-value calls of one roll, and the time until it is in force on every box.
func BenchmarkCapacityChange(b *testing.B) {
	for _, boxes := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("boxes=%d", 2*boxes), func(b *testing.B) {
			t := servingFleet(b, 2, boxes, 2, "m1")
			time.Sleep(15 * time.Second)
			calls, begun := t.platformCalls.counts(), time.Now()
			t.roll(t.boxes["h1-b1"], bundleText(2, "a", "1GiB", "m1"))
			t.until(inForceLimit, func() error { return checkGenerations(t) })
			b.ReportMetric(float64(time.Since(begun).Milliseconds()), "ms-to-force")
			reads, writes := callsSince(t.platformCalls.counts(), calls)
			b.ReportMetric(reads, "kvreads/change")
			b.ReportMetric(writes, "kvwrites/change")
		})
	}
}

// BenchmarkCapacityReturn measures the key-value calls in the ten seconds after the end of a network partition that
// cut a hall off from everything for ten seconds.
func BenchmarkCapacityReturn(b *testing.B) {
	for _, boxes := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("boxes=%d", 2*boxes), func(b *testing.B) {
			t := servingFleet(b, 2, boxes, 2, "m1")
			inside, outside := t.hosts("h2")
			t.net.setPartition(true, inside, outside)
			time.Sleep(idleMeasureTime)
			t.net.setPartition(false, inside, outside)
			calls := t.platformCalls.counts()
			time.Sleep(idleMeasureTime)
			reads, writes := callsSince(t.platformCalls.counts(), calls)
			b.ReportMetric(reads, "kvreads/return")
			b.ReportMetric(writes, "kvwrites/return")
		})
	}
}

// BenchmarkCapacityFleet measures the time to rebuild the fleet's snapshot, and the size of the plan and of a hall's
// holdings, by the number of engines.
func BenchmarkCapacityFleet(b *testing.B) {
	for _, engines := range []int{18, 150, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			box := syntheticBox(engines)
			for b.Loop() {
				box.fleet.rebuild()
			}
			b.ReportMetric(float64(planBytes(box)), "planB")
			b.ReportMetric(float64(holdingsBytes(box)), "holdingsB/hall")
		})
	}
}

// BenchmarkCapacityTable measures building a table in force with the given number of customers.
func BenchmarkCapacityTable(b *testing.B) {
	for _, customers := range []int{2, 50, 300} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			box := syntheticBox(18)
			table := bundle.Table{Customers: map[string]bundle.TableEntry{}}
			for c := range customers {
				text := strings.Replace(bundleText(1, "a", "1GiB", "m1", "m2"), "customer: acme", fmt.Sprintf("customer: c%d", c), 1)
				putText(box, fmt.Sprintf("c%d", c), text)
				table.Customers[fmt.Sprintf("c%d", c)] = bundle.TableEntry{Version: 1}
			}
			for b.Loop() {
				if _, err := box.inForce.build(b.Context(), 1, table); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// peerBytes returns how many bytes all boxes together sent to peers or received from them.
func (t *testFleet) peerBytes(direction string) float64 {
	var total uint64
	for _, b := range t.boxes {
		total += b.set.GetOrCreateCounter(fmt.Sprintf(`ospreymoor_peer_bytes_total{direction=%q}`, direction)).Get()
	}
	return float64(total)
}

// callsSince splits the platform's calls into reads and writes. Each watch counts as a read.
func callsSince(now, before map[string]int) (reads, writes float64) {
	for path, n := range now {
		switch path {
		case kv.PathRange, kv.PathWatch:
			reads += float64(n - before[path])
		case kv.PathTxn, kv.PathGrant, kv.PathRenew, kv.PathRevoke:
			writes += float64(n - before[path])
		}
	}
	return reads, writes
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
