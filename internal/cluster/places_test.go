package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/places"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// placeFleet is a box and the keeper of the service "s", which is another one.
type placeFleet struct {
	network spectest.Network
	box     *Places
	keeper  *Places
	// stop ends the box that serves.
	stop    func()
	closers []func()
}

// placesOf returns the places of one box of the fleet, which lists one upstream of 3 slots, and so 5 places.
func (f *placeFleet) placesOf(name string) *Places {
	directory := fleet.New()
	directory.SetList(1, []fleet.Upstream{{ID: "u", Service: "s", Hall: "h", Slots: 3, Revision: 1}}, time.Time{})
	members := largeFleet(name)
	for _, other := range members.byName {
		other.Address = other.Name
	}
	client := peer.NewClient("secret", f.network.Dial, metrics.NewSet())
	f.closers = append(f.closers, client.Close)
	return NewPlaces(members, client, directory, dispatch.NewLoadTracker(), zap.NewNop())
}

// serve serves a box; handle adds its methods.
func (f *placeFleet) serve(name string, handle func(*peer.Server)) {
	server := peer.NewServer("secret", metrics.NewSet())
	handle(server)
	listener := f.network.Listen(name)
	go server.Serve(listener)
	f.stop = sync.OnceFunc(func() {
		_ = listener.Close()
		server.Close()
	})
	f.closers = append(f.closers, f.stop)
}

// withPlaceFleet runs f in a bubble with a box and the name of its keeper, which does not serve yet.
func withPlaceFleet(f func(p *placeFleet, keeper string)) {
	spectest.Bubble(func() {
		p := &placeFleet{}
		defer func() {
			for _, closeOne := range p.closers {
				closeOne()
			}
			time.Sleep(time.Second) // Calls in flight end.
		}()
		keeper := largeFleet("n00").keeperOf(placesPrefix + "s").Name
		name := "n01"
		if keeper == name {
			name = "n02"
		}
		p.box, p.keeper = p.placesOf(name), p.placesOf(keeper)
		p.keeper.kept.Share = func() float64 { return 1 } // No box reports to it.
		f(p, keeper)
	})
}

func (f *placeFleet) ask(id uint64) (places.Answer, error) {
	return f.box.Ask(context.Background(), places.Ask{Service: "s", ID: id, Aim: 300 * time.Millisecond, Deadline: 800 * time.Millisecond})
}

var _ = Describe("places of a plain service", func() {
	It("are taken from the keeper, held until one is free, and returned", func() {
		withPlaceFleet(func(p *placeFleet, keeper string) {
			p.serve(keeper, p.keeper.Handle)
			for id := range uint64(5) {
				answer, err := p.ask(id + 1)
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.Upstream).To(Equal("u"))
			}
			time.AfterFunc(50*time.Millisecond, func() { p.box.Return("s", places.Return{ID: 1, Result: places.Served}) })
			begun := time.Now()
			answer, err := p.ask(9)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Upstream).To(Equal("u"))
			Expect(time.Since(begun)).To(Equal(50 * time.Millisecond))
			waits, err := p.ask(10)
			Expect(err).NotTo(HaveOccurred())
			Expect(waits.Upstream).To(BeEmpty())
			Expect(waits.Denied).To(BeFalse())
		})
	})

	It("are left to the box at once where the keeper has the build before, and asked for again a second later", func() {
		withPlaceFleet(func(p *placeFleet, keeper string) {
			p.serve(keeper, func(*peer.Server) {})
			begun := time.Now()
			_, err := p.ask(1)
			Expect(err).To(HaveOccurred())
			_, err = p.ask(2)
			Expect(err).To(MatchError(errKeeperLost))
			Expect(time.Since(begun)).To(BeZero())
			p.stop()
			p.serve(keeper, p.keeper.Handle)
			time.Sleep(keeperRetryDelay)
			answer, err := p.ask(3)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Upstream).To(Equal("u"))
		})
	})

	It("are left to the box at once when the keeper dies while it holds an ask, and soon when it is cut off", func() {
		withPlaceFleet(func(p *placeFleet, keeper string) {
			p.serve(keeper, p.keeper.Handle)
			for id := range uint64(5) {
				_, _ = p.ask(id + 1)
			}
			time.AfterFunc(10*time.Millisecond, p.stop)
			begun := time.Now()
			_, err := p.ask(9)
			Expect(err).To(HaveOccurred())
			Expect(time.Since(begun)).To(Equal(10 * time.Millisecond))
		})
		withPlaceFleet(func(p *placeFleet, keeper string) {
			p.serve(keeper, func(server *peer.Server) {
				peer.Handle(server, methodPlace, func(context.Context, places.Ask) (places.Answer, error) {
					time.Sleep(10 * time.Second)
					return places.Answer{}, nil
				})
			})
			begun := time.Now()
			_, err := p.ask(1)
			Expect(err).To(HaveOccurred())
			Expect(time.Since(begun)).To(Equal(placeTimeout))
			time.Sleep(10 * time.Second)
		})
	})

	It("are returned together while a message is under way, and again to a keeper that was frozen", func() {
		withPlaceFleet(func(p *placeFleet, keeper string) {
			messages := make(chan []places.Return, 10)
			p.serve(keeper, func(server *peer.Server) {
				peer.Handle(server, methodReturnPlaces, func(_ context.Context, returns places.Returns) (peer.Empty, error) {
					messages <- returns.Places
					time.Sleep(10 * time.Millisecond)
					return peer.Empty{}, nil
				})
			})
			for id := range uint64(5) {
				p.box.Return("s", places.Return{ID: id + 1})
				time.Sleep(time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			Expect(messages).To(HaveLen(2))
			Expect(<-messages).To(HaveLen(1))
			Expect(<-messages).To(HaveLen(4))
			p.stop()
			p.box.Return("s", places.Return{ID: 6})
			p.box.Return("s", places.Return{ID: 7})
			time.Sleep(time.Second)
			Expect(messages).To(BeEmpty())
			p.serve(keeper, func(server *peer.Server) {
				peer.Handle(server, methodReturnPlaces, func(_ context.Context, returns places.Returns) (peer.Empty, error) {
					messages <- returns.Places
					return peer.Empty{}, nil
				})
			})
			time.Sleep(time.Second)
			Expect(<-messages).To(HaveLen(2))
		})
	})

	It("are left to their deadlines where the keeper is gone for long", func() {
		withPlaceFleet(func(p *placeFleet, _ string) {
			p.box.Return("s", places.Return{ID: 1})
			time.Sleep(maxReturnTries*returnRetryDelay + time.Second)
			p.box.mu.Lock()
			defer p.box.mu.Unlock()
			Expect(p.box.returning).To(BeEmpty())
		})
	})

	It("are not counted where boxes exchange loads directly", func() {
		members := NewMembers(Box{Name: "a"}, neverLost)
		Expect(NewPlaces(members, nil, fleet.New(), dispatch.NewLoadTracker(), zap.NewNop()).Counted()).To(BeFalse())
	})
})
