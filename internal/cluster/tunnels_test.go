package cluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// tunnelBox is a box that opens and carries tunnels.
type tunnelBox struct {
	*Tunnels
	box Box
	// dialError is the error of its own connections to an upstream, by address; nil means that they can be made. A cut in
	// silence is os.ErrDeadlineExceeded.
	dialError func(address string) error
	leaving   bool
	dials     atomic.Int64
}

// withTunnelBoxes runs f on boxes of two halls that know each other and the upstreams u0 to u3.
func withTunnelBoxes(count int, f func(boxes []*tunnelBox)) { withTunnelHalls(count, 2, f) }

func withTunnelHalls(count, halls int, f func(boxes []*tunnelBox)) {
	spectest.Bubble(func() {
		network := &spectest.Network{}
		var boxes []*tunnelBox
		for n := range count {
			boxes = append(boxes, &tunnelBox{
				box:       Box{Name: fmt.Sprint("b", n), Hall: fmt.Sprint("h", n%halls), Address: fmt.Sprint("b", n, ":1"), Incarnation: "1", CarriesTunnels: true},
				dialError: func(string) error { return nil },
			})
		}
		var servers []*peer.Server
		var listeners []net.Listener
		for _, b := range boxes {
			members := NewMembers(b.box, func() bool { return false })
			for _, other := range boxes {
				if other != b {
					members.applyReport(message{From: other.box, Scope: noScope}, time.Now())
				}
			}
			directory := fleet.New()
			var list []fleet.Upstream
			for n := range 4 {
				list = append(list, fleet.Upstream{ID: fmt.Sprint("u", n), Service: "s", Address: fmt.Sprint("u", n, ":1"), Revision: 1})
			}
			directory.SetList(1, list, time.Time{})
			b.Tunnels = &Tunnels{
				Members: members, Client: peer.NewClient("", network.Dial, metrics.NewSet()), Directory: directory, Links: &fleet.Links{},
				Dial: b.dial, Leaving: func() bool { return b.leaving },
			}
			server := peer.NewServer("", metrics.NewSet())
			b.Handle(server)
			listener := network.Listen(b.box.Address)
			go server.Serve(listener)
			servers, listeners = append(servers, server), append(listeners, listener)
		}
		f(boxes)
		for n := range servers {
			servers[n].Close()
			Expect(listeners[n].Close()).To(Succeed())
		}
		time.Sleep(time.Minute)
	})
}

func (b *tunnelBox) dial(ctx context.Context, _, address string) (net.Conn, error) {
	b.dials.Add(1)
	if err := b.dialError(address); err != nil {
		if err == os.ErrDeadlineExceeded {
			<-ctx.Done()
		}
		return nil, err
	}
	near, far := net.Pipe()
	go func() {
		_, _ = far.Read(make([]byte, 1)) // Ends when the other end is closed.
		_ = far.Close()
	}()
	return near, nil
}

func always(err error) func(string) error { return func(string) error { return err } }

// openByExit returns the numbers of this box's open tunnels.
func (b *tunnelBox) openByExit() map[string]int {
	open := map[string]int{}
	for exit, state := range b.byExit {
		open[exit] = state.open
	}
	return open
}

var _ = Describe("tunnels to upstreams", func() {
	It("are spread over all boxes that can carry them, those of the own hall first", func() {
		withTunnelBoxes(5, func(boxes []*tunnelBox) {
			var open []net.Conn
			for range 8 {
				conn, err := boxes[0].Open(context.Background(), "u1")
				Expect(err).NotTo(HaveOccurred())
				open = append(open, conn)
				if len(open) == 2 {
					Expect(boxes[0].openByExit()).To(Equal(map[string]int{"b2": 1, "b4": 1}))
				}
			}
			Expect(boxes[0].openByExit()).To(Equal(map[string]int{"b1": 2, "b2": 2, "b3": 2, "b4": 2}))
			for _, conn := range open {
				Expect(conn.Close()).To(Succeed())
			}
			time.Sleep(time.Second)
			own, _ := boxes[0].Counts()
			_, carried := boxes[1].Counts()
			Expect(own + carried).To(BeZero())
		})
	})

	DescribeTable("are opened through another box if one cannot carry them", func(unable func(*tunnelBox), within time.Duration) {
		withTunnelBoxes(4, func(boxes []*tunnelBox) {
			for _, exit := range boxes[1:3] {
				unable(exit)
			}
			for range 20 {
				begun := time.Now()
				conn, err := boxes[0].Open(context.Background(), "u1")
				Expect(err).NotTo(HaveOccurred())
				Expect(time.Since(begun)).To(BeNumerically("<=", within))
				Expect(conn.Close()).To(Succeed())
				time.Sleep(100 * time.Millisecond)
			}
		})
	},
		Entry("that is cut off in silence", func(b *tunnelBox) { b.dialError = always(os.ErrDeadlineExceeded) }, 2*exitDialTimeout),
		Entry("that is cut off by resets", func(b *tunnelBox) { b.dialError = always(syscall.ECONNREFUSED) }, time.Duration(0)),
		Entry("that is about to stop", func(b *tunnelBox) { b.leaving = true }, time.Duration(0)),
		Entry("that does not list the upstream", func(b *tunnelBox) { b.Directory = fleet.New() }, time.Duration(0)),
		Entry("that lost its own links", func(b *tunnelBox) {
			b.Links.RecordFailure("u0")
			b.Links.RecordCarried()
			b.Links.RecordFailure("u1")
		}, time.Duration(0)),
	)

	It("are opened at once through another hall if all of a large hall is cut off", func() {
		withTunnelBoxes(40, func(boxes []*tunnelBox) {
			for n := 2; n < len(boxes); n += 2 {
				boxes[n].dialError = always(syscall.ECONNREFUSED)
			}
			begun := time.Now()
			conn, err := boxes[0].Open(context.Background(), "u1")
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Since(begun)).To(BeZero())
			Expect(conn.Close()).To(Succeed())
		})
	})

	It("are opened without delay after a few tries if all halls but one of a large fleet are cut off in silence", func() {
		withTunnelHalls(140, 7, func(boxes []*tunnelBox) {
			for n, b := range boxes {
				if n%7 != 6 {
					b.dialError = always(os.ErrDeadlineExceeded)
				}
			}
			delayed := 0
			for range 40 {
				begun := time.Now()
				conn, err := boxes[0].Open(context.Background(), "u1")
				if time.Since(begun) > 0 {
					delayed++
				}
				if err == nil {
					defer conn.Close()
				}
				time.Sleep(50 * time.Millisecond)
			}
			Expect(delayed).To(BeNumerically("<=", 6), "one for each hall that is cut off")
		})
	})

	It("show that an upstream refuses connections only if the exit reaches another one", func() {
		withTunnelBoxes(2, func(boxes []*tunnelBox) {
			boxes[1].dialError = func(address string) error {
				if address == "u1:1" {
					return syscall.ECONNREFUSED
				}
				return nil
			}
			_, err := boxes[0].Open(context.Background(), "u1")
			Expect(err).To(MatchError(ErrUpstreamRefuses))
			boxes[1].dialError = always(syscall.ECONNREFUSED)
			_, err = boxes[0].Open(context.Background(), "u1")
			Expect(err).To(MatchError(ErrNotReached))
		})
	})

	It("are not opened by boxes that are all cut off, which ask each other once and never in a circle", func() {
		withTunnelBoxes(4, func(boxes []*tunnelBox) {
			for _, b := range boxes {
				b.dialError = always(os.ErrDeadlineExceeded)
			}
			begun := time.Now()
			_, err := boxes[0].Open(context.Background(), "u1")
			Expect(err).To(MatchError(ErrNotReached))
			Expect(time.Since(begun)).To(BeNumerically("<=", openTimeout))
			dials := int64(0)
			for _, b := range boxes {
				dials += b.dials.Load()
			}
			Expect(dials).To(Equal(int64(3)), "each other box once, this one not")
			Expect(boxes[0].Links.Lost()).To(BeFalse())
			Expect(boxes[0].Links.MayTunnel()).To(BeFalse())
		})
	})

	It("are not carried beyond a box's limit, and not by boxes of the previous version", func() {
		withTunnelBoxes(2, func(boxes []*tunnelBox) {
			boxes[1].carried = maxTunnels
			_, err := boxes[0].Open(context.Background(), "u1")
			Expect(err).To(MatchError(ErrNoExit))
			boxes[1].carried = 0
			time.Sleep(exitRetryDelay)
			old := boxes[1].box
			old.CarriesTunnels = false
			boxes[0].Members.applyReport(message{From: old, Scope: noScope}, time.Now())
			_, err = boxes[0].Open(context.Background(), "u1")
			Expect(err).To(MatchError(ErrNoExit))
			Expect(boxes[1].dials.Load()).To(BeZero())
		})
	})
})
