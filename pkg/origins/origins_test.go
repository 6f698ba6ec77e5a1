package origins

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestOrigins(t *testing.T) { spectest.Run(t, "Origins") }

func record(attempt, service, version string) Record {
	return Record{Stream: StreamOf(attempt), Origin: Origin{Service: service, Version: version}}
}

var _ = Describe("the register of where streams began", func() {
	find := func(r *Register, attempt string) []Origin {
		found, _ := r.Find(StreamOf(attempt))
		return found
	}

	It("keeps the first version of a stream at each service", func() {
		r := NewRegister()
		r.Add(record("a", "s", "v1"), record("a", "s", "v2"), record("a", "t", "v2"))
		Expect(find(r, "a")).To(ConsistOf(Origin{"s", "v1"}, Origin{"t", "v2"}))
		Expect(find(r, "b")).To(BeEmpty())
		Expect(r.OfService("t")).To(ConsistOf(record("a", "t", "v2")))
	})

	It("holds no stream for the note of a version", func() {
		r := NewRegister()
		r.Add(NoteOf(Origin{"s", "v1"}), record("a", "s", "v1"))
		known, _ := r.Counts()
		Expect(known).To(Equal(1))
	})

	It("forgets a stream when its retention is over, counted from its latest record", func() {
		spectest.Bubble(func() {
			r := NewRegister()
			r.Add(record("a", "s", "v1"), record("b", "s", "v1"))
			time.Sleep(Retention - time.Second)
			r.Add(record("a", "s", "v1"))
			_, age := r.Find(StreamOf("a"))
			Expect(age).To(BeZero())
			time.Sleep(time.Second)
			Expect(find(r, "a")).NotTo(BeEmpty())
			Expect(find(r, "b")).To(BeEmpty())
			time.Sleep(Retention)
			known, evicted := r.Counts()
			Expect([]int{known, evicted}).To(Equal([]int{0, 0}))
		})
	})

	It("drops the oldest stream where there is no room, and bounds the services of one", func() {
		r := NewRegister()
		r.MaxStreams = 100
		for n := range 1000 {
			r.Add(record(fmt.Sprint(n), "s", "v1"))
			r.Add(record("last", fmt.Sprint(n), "v1"))
		}
		known, evicted := r.Counts()
		Expect([]int{known, evicted}).To(Equal([]int{100, 901}))
		Expect(find(r, "0")).To(BeEmpty())
		Expect(find(r, "999")).NotTo(BeEmpty())
		Expect(find(r, "last")).To(HaveLen(maxOriginsPerStream))
	})
})

var _ = Describe("a segment of records", func() {
	It("has nine bytes a record and unpacks to the same records", func() {
		var records []Record
		for n := range 64 {
			records = append(records, record(fmt.Sprint(n), "s", fmt.Sprint("v", n%3)))
		}
		segment := NewSegment(records)
		Expect(segment.Streams).To(HaveLen(64 * recordBytes))
		Expect(segment.Records()).To(Equal(records))
	})

	It("leaves out records that name too many versions", func() {
		var records []Record
		for n := range maxSegmentOrigins + 10 {
			records = append(records, record(fmt.Sprint(n), "s", fmt.Sprint(n)))
		}
		unpacked, err := NewSegment(records).Records()
		Expect(err).NotTo(HaveOccurred())
		Expect(unpacked).To(Equal(records[:maxSegmentOrigins]))
	})

	DescribeTable("of another writer is an error", func(segment Segment) {
		_, err := segment.Records()
		Expect(err).To(MatchError(ErrSegment))
	},
		Entry("part of a record", Segment{Origins: []Origin{{"s", "v1"}}, Streams: make([]byte, 8)}),
		Entry("no version", Segment{Streams: make([]byte, 9)}),
	)
})

var _ = Describe("where a stream may go on", func() {
	DescribeTable("is decided by its records", func(r Resumption, want Decision) {
		r.Service = "s"
		r.MayUse = func(service string) bool { return service == "other" }
		Expect(Decide(r)).To(Equal(want))
	},
		Entry("at its version", Resumption{Named: true, Known: []Origin{{"s", "v1"}}}, Decision{Origin: Origin{"s", "v1"}, Bound: true}),
		Entry("at the version of this service, where it went on at several services",
			Resumption{Named: true, Known: []Origin{{"other", "v1"}, {"s", "v2"}}}, Decision{Origin: Origin{"s", "v2"}, Bound: true}),
		Entry("at the service that began it, if the route has it",
			Resumption{Named: true, Known: []Origin{{"gone", "v1"}, {"other", "v2"}}}, Decision{Origin: Origin{"other", "v2"}, Bound: true}),
		Entry("at any version of a service at which it has no events",
			Resumption{Named: true, Known: []Origin{{"gone", "v1"}}}, Decision{Origin: Origin{Service: "s"}}),
		Entry("at the sole version until a moment ago, without a record",
			Resumption{Named: true, SoleBefore: "v1", SoleKnown: true}, Decision{Origin: Origin{"s", "v1"}, Bound: true, Assumed: true}),
		Entry("nowhere without a record", Resumption{Named: true}, Decision{Origin: Origin{Service: "s"}, Unknown: true}),
		Entry("nowhere if the caller does not name it",
			Resumption{SoleBefore: "v1", SoleKnown: true}, Decision{Origin: Origin{Service: "s"}, Unknown: true}),
	)
})

// BenchmarkRegister adds streams to a register and reports the memory of one.
func BenchmarkRegister(b *testing.B) {
	r := NewRegister()
	r.MaxStreams = b.N + 1
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range b.N {
		r.Add(Record{Stream: Stream(n), Origin: Origin{Service: "llm-pool", Version: "v1.1"}})
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/stream")
	runtime.KeepAlive(r)
}
