package cluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// raceDetector means that the specs run under the race detector, many times slower.
var raceDetector bool

// hallTransfer is the transfer of one blob from a relay to all boxes of its hall.
type hallTransfer struct {
	network spectest.Network
	links   map[string]*spectest.Link
	stops   []func()
}

const (
	relayLink = 25_000_000
	boxLink   = 2_500_000
	// boxCallTime is how long a small box takes to answer a call, and relayCallTime how long a relay takes.
	boxCallTime   = 5 * time.Millisecond
	relayCallTime = time.Millisecond
)

func hallBox(n int) string { return fmt.Sprintf("b%03d:1", n) }

func (h *hallTransfer) start(n int) *Exchange {
	address, rate, takes := hallBox(n), int64(boxLink), boxCallTime
	if n == 0 {
		rate, takes = relayLink, relayCallTime
	}
	h.links[address] = spectest.NewLink(rate)
	client := peer.NewClient("secret", h.links[address].Dial(&h.network, func(to string) *spectest.Link { return h.links[to] }), metrics.NewSet())
	e := NewExchange(Config{
		Members: NewMembers(Box{Name: address, Address: address}, neverLost), Mirror: &mirror.Mirror{}, Directory: fleet.New(), Client: client,
		Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy), LinkBytesPerSecond: float64(rate), Log: zap.NewNop(),
	})
	server := peer.NewServer("secret", metrics.NewSet())
	peer.Handle(server, methodPiece, func(ctx context.Context, request pieceRequest) (pieceAnswer, error) {
		if err := pause.For(ctx, takes); err != nil {
			return pieceAnswer{}, err
		}
		return e.answerPiece(ctx, request)
	})
	listener := h.network.Listen(address)
	go server.Serve(listener)
	h.stops = append(h.stops, client.Close, server.Close, func() { _ = listener.Close() })
	return e
}

// run has all boxes of a hall fetch a blob of a given length from their relay, and returns how long the last one
// took.
func (h *hallTransfer) run(boxes, bytes int) (took time.Duration) {
	spectest.Bubble(func() {
		h.links = map[string]*spectest.Link{}
		id := sharedDeltaBlob(0, 9)
		packed, err := pack(incompressible(bytes))
		Expect(err).NotTo(HaveOccurred())
		var exchanges []*Exchange
		for n := range boxes {
			exchanges = append(exchanges, h.start(n))
		}
		keep := func(e *Exchange, packed []byte) {
			e.sender.blobs.addShared(sharedDelta{blob: blob{id: id, packed: packed}, to: 9, packedAt: time.Now()})
		}
		keep(exchanges[0], packed)
		begun := time.Now()
		var fetching sync.WaitGroup
		for n, e := range exchanges[1:] {
			fetching.Go(func() {
				time.Sleep(memberInterval * time.Duration(n) / time.Duration(boxes))
				for {
					copied, err := e.fetchPackedBlob(context.Background(), hallBox(0), id)
					if err == nil {
						keep(e, copied)
						return
					}
				}
			})
		}
		fetching.Wait()
		took = time.Since(begun)
		for _, stop := range h.stops {
			stop()
		}
		time.Sleep(time.Minute)
	})
	return took
}

// Guards against a relay that uses its fast link for too few receivers. With a link ten times as fast as those of
// its hall, a relay sent to only two boxes at once, as the others did. Transfers of a large fleet's list then timed
// out.
var _ = Describe("a transfer to a whole hall", func() {
	It("reaches all boxes before transfers time out", func() {
		boxes := 160
		if raceDetector {
			boxes = 20
		}
		took := new(hallTransfer).run(boxes, 600_000)
		GinkgoWriter.Printf("%d boxes: all after %v\n", boxes, took)
		Expect(took).To(BeNumerically("<", transferTimeout))
	})
})
