package cluster

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// originFleet has boxes that keep records of where streams began.
type originFleet struct {
	network spectest.Network
	boxes   []*Origins
	// stops end the servers of the boxes.
	stops []func()
	// closers end the sending of the boxes' records.
	closers []func()
	// metrics counts the calls and bytes of all boxes.
	metrics *metrics.Set
	// cut means that no box reaches another one.
	cut atomic.Bool
	// saved are the records that boxes were to write, by box.
	mu    sync.Mutex
	saved map[string][]origins.Record
}

func originBoxName(n int) string { return fmt.Sprintf("n%02d", n) }

// originBoxes returns the boxes of a fleet of two halls. Those from the number before on are of the previous version.
func originBoxes(count, before int) []Box {
	var boxes []Box
	for n := range count {
		name := originBoxName(n)
		boxes = append(boxes, Box{Name: name, Hall: fmt.Sprint("h", n%2), Address: name, Cores: 1, KeepsOrigins: n < before})
	}
	return boxes
}

// withOriginFleet runs f in a bubble with a fleet whose boxes all serve.
func withOriginFleet(count, before int, f func(*originFleet)) {
	spectest.Bubble(func() {
		o := &originFleet{saved: map[string][]origins.Record{}, metrics: metrics.NewSet()}
		boxes := originBoxes(count, before)
		for _, box := range boxes {
			o.start(box, boxes)
		}
		defer func() {
			for n := range o.boxes {
				o.stops[n]()
				o.boxes[n].Client.Close()
				o.closers[n]()
			}
			time.Sleep(time.Minute) // Messages under way end.
		}()
		time.Sleep(time.Millisecond) // All run.
		f(o)
	})
}

func (f *originFleet) start(box Box, boxes []Box) {
	members := NewMembers(box, neverLost)
	members.SetRegistered(boxes)
	o := &Origins{
		Members: members, Client: peer.NewClient("secret", f.dial, f.metrics), Directory: fleet.New(), Kept: origins.NewRegister(), Log: zap.NewNop(),
		Save: func(records []origins.Record) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.saved[box.Name] = append(f.saved[box.Name], records...)
		},
	}
	f.boxes = append(f.boxes, o)
	ctx, stop := context.WithCancel(context.Background())
	f.closers = append(f.closers, stop)
	go o.Run(ctx)
	server := peer.NewServer("secret", f.metrics)
	if box.KeepsOrigins {
		o.Handle(server)
	}
	listener := f.network.Listen(box.Address)
	go server.Serve(listener)
	f.stops = append(f.stops, sync.OnceFunc(func() {
		_ = listener.Close()
		server.Close()
	}))
}

func (f *originFleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if f.cut.Load() {
		return nil, os.ErrDeadlineExceeded
	}
	return f.network.Dial(ctx, network, address)
}

// stopBox stops a box's server, by the box's name.
func (f *originFleet) stopBox(name string) {
	for n, box := range f.boxes {
		if box.Members.self.Name == name {
			f.stops[n]()
		}
	}
}

// bystander returns a box that is none of the keepers of a stream.
func (f *originFleet) bystander(stream origins.Stream, except ...string) *Origins {
	for _, box := range f.boxes {
		known := false
		for _, keeper := range box.Members.originKeepersOf(box.partOf(stream)) {
			known = known || keeper.Name == box.Members.self.Name
		}
		for _, name := range except {
			known = known || name == box.Members.self.Name
		}
		if !known && box.Members.self.KeepsOrigins {
			return box
		}
	}
	Fail("all boxes are keepers")
	return nil
}

func (f *originFleet) savedCount() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, records := range f.saved {
		count += len(records)
	}
	return count
}

var _ = Describe("records of where streams began", func() {
	stream := origins.StreamOf("r1")
	question := origins.Question{Stream: stream, Service: "s"}
	record := origins.Record{Stream: stream, Origin: origins.Origin{Service: "s", Version: "v1"}}
	find := func(o *Origins) []origins.Origin { return o.Find(context.Background(), question, true).Origins }

	DescribeTable("are found at any box milliseconds later, also when the box that made them is gone", func(count int) {
		withOriginFleet(count, count, func(f *originFleet) {
			maker := f.bystander(stream)
			maker.Record(record)
			time.Sleep(5 * time.Millisecond)
			f.stopBox(maker.Members.self.Name)
			asker := f.bystander(stream, maker.Members.self.Name)
			found := asker.Find(context.Background(), question, true)
			Expect(found.Origins).To(ConsistOf(record.Origin))
			Expect(found.Source).NotTo(Equal(asker.Members.self.Name))
			Expect(asker.Find(context.Background(), question, false).Source).To(Equal(asker.Members.self.Name), "it knows the record now")
			time.Sleep(time.Second)
			Expect(f.savedCount()).To(Equal(1), "one box writes it to the store")
		})
	},
		Entry("in a small fleet", 8),
		Entry("in a large fleet", 86),
	)

	It("come with the versions that a keeper knows of, which the box that asks may not have heard of", func() {
		withOriginFleet(8, 8, func(f *originFleet) {
			asker := f.bystander(stream)
			Expect(asker.Find(context.Background(), question, true)).To(Equal(origins.Found{Answered: true}))
			for _, version := range []string{"v1", "v2"} {
				for _, box := range f.boxes {
					if box != asker {
						box.Directory.RecordVersion("s", version)
					}
				}
			}
			Expect(asker.Directory.MixedVersions("s")).To(BeFalse())
			Expect(find(asker)).To(BeEmpty())
			Expect(asker.Directory.MixedVersions("s")).To(BeTrue())
		})
	})

	It("are known by the only box of a fleet", func() {
		withOriginFleet(1, 1, func(f *originFleet) {
			Expect(f.boxes[0].Find(context.Background(), question, true)).To(Equal(origins.Found{Answered: true}))
			f.boxes[0].Record(record)
			Expect(find(f.boxes[0])).To(ConsistOf(record.Origin))
		})
	})

	It("are kept in two halls", func() {
		withOriginFleet(8, 8, func(f *originFleet) {
			keepers := f.boxes[0].Members.originKeepersOf(savePart)
			Expect(keepers).To(HaveLen(maxOriginKeepers))
			Expect(keepers[0].Hall).NotTo(Equal(keepers[1].Hall))
		})
	})

	DescribeTable("are found while keepers are gone", func(gone int) {
		withOriginFleet(8, 8, func(f *originFleet) {
			maker := f.bystander(stream)
			keepers := maker.Members.originKeepersOf(savePart)
			for _, keeper := range keepers[:gone] {
				f.stopBox(keeper.Name)
			}
			maker.Record(record)
			time.Sleep(time.Second)
			Expect(find(f.bystander(stream, maker.Members.self.Name))).To(ConsistOf(record.Origin))
			Expect(f.savedCount()).To(BeNumerically(">=", 1))
		})
	},
		Entry("the first", 1),
		Entry("the first two", 2),
		Entry("the first three", 3),
	)

	It("are found when the first box that keeps them is lost", func() {
		withOriginFleet(8, 8, func(f *originFleet) {
			maker := f.bystander(stream)
			maker.Record(record)
			time.Sleep(time.Second)
			f.stopBox(maker.Members.originKeepersOf(savePart)[0].Name)
			Expect(find(f.bystander(stream, maker.Members.self.Name))).To(ConsistOf(record.Origin))
		})
	})

	It("are sent once a keeper is reached again", func() {
		withOriginFleet(8, 8, func(f *originFleet) {
			maker := f.bystander(stream)
			f.cut.Store(true)
			maker.Record(record)
			time.Sleep(10 * time.Second)
			f.cut.Store(false)
			time.Sleep(2 * time.Second)
			Expect(find(f.bystander(stream, maker.Members.self.Name))).To(ConsistOf(record.Origin))
		})
	})

	It("are not asked for at boxes of the previous version", func() {
		withOriginFleet(8, 3, func(f *originFleet) {
			for _, keeper := range f.boxes[0].Members.originKeepersOf(savePart) {
				Expect(keeper.KeepsOrigins).To(BeTrue())
			}
			f.boxes[0].Record(record)
			time.Sleep(time.Second)
			Expect(find(f.boxes[2])).To(ConsistOf(record.Origin))
			Expect(find(f.boxes[7])).To(ConsistOf(record.Origin))
		})
	})

	It("that no box has are found missing within the time of one call, while keepers do not answer", func() {
		withOriginFleet(8, 8, func(f *originFleet) {
			asker := f.bystander(stream)
			for _, keeper := range asker.Members.originKeepersOf(savePart) {
				f.stopBox(keeper.Name)
			}
			begun := time.Now()
			Expect(find(asker)).To(BeEmpty())
			Expect(time.Since(begun)).To(BeNumerically("<=", originTimeout))
		})
	})

	It("cost two messages a stream, however large the fleet is, and fewer where streams are many", func() {
		withOriginFleet(86, 86, func(f *originFleet) {
			const streams = 200
			for n := range streams {
				f.boxes[n%86].Record(origins.Record{Stream: origins.StreamOf(fmt.Sprint(n)), Origin: record.Origin})
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(time.Second)
			known := 0
			for _, box := range f.boxes {
				count, _ := box.Kept.Counts()
				known += count
			}
			Expect(known).To(BeNumerically("<=", 3*streams), "the box that made it and two keepers")
			Expect(f.savedCount()).To(Equal(streams))
			Expect(f.saved).To(HaveLen(1), "one box writes for all")
		})
	})
})

// BenchmarkOrigins records one stream after the other at random boxes. It reports the calls and the bytes of a stream over
// all boxes.
func BenchmarkOrigins(b *testing.B) {
	for _, count := range []int{8, 86} {
		b.Run(fmt.Sprint(count, " boxes"), func(b *testing.B) {
			f := &originFleet{saved: map[string][]origins.Record{}, metrics: metrics.NewSet()}
			boxes := originBoxes(count, count)
			for _, box := range boxes {
				f.start(box, boxes)
			}
			defer func() {
				for n := range f.boxes {
					f.stops[n]()
					f.boxes[n].Client.Close()
					f.closers[n]()
				}
			}()
			time.Sleep(100 * time.Millisecond) // All run.
			b.ResetTimer()
			for n := range b.N {
				f.boxes[n%count].Record(origins.Record{Stream: origins.StreamOf(fmt.Sprint(n)), Origin: origins.Origin{Service: "llm-pool", Version: "v1.1"}})
				time.Sleep(time.Millisecond) // Streams that begin together go in one message.
			}
			for f.savedCount() < b.N {
				time.Sleep(10 * time.Millisecond)
			}
			var text bytes.Buffer
			f.metrics.WritePrometheus(&text)
			b.ReportMetric(sumMetric(text.String(), `ospreymoor_peer_call_seconds_count`)/float64(b.N), "calls/stream")
			b.ReportMetric(sumMetric(text.String(), `ospreymoor_peer_bytes_total{direction="out"}`)/float64(b.N), "B/stream")
		})
	}
}

// sumMetric adds up the values of the metrics whose names begin with a prefix.
func sumMetric(text, prefix string) (sum float64) {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, prefix) {
			value, _ := strconv.ParseFloat(strings.TrimSpace(line[strings.LastIndex(line, " ")+1:]), 64)
			sum += value
		}
	}
	return sum
}
