package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/mirror/mirrortest"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// incompressible returns a value of a number of bytes that compression does not shorten.
func incompressible(bytes int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	value := make([]byte, bytes)
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return value
}

// pieceServers are boxes that answer requests for pieces, each with its own function.
type pieceServers struct {
	network spectest.Network
	closers []func()
}

func (p *pieceServers) serve(address string, answer func(pieceRequest) (pieceAnswer, error)) {
	server := peer.NewServer("secret", metrics.NewSet())
	peer.Handle(server, methodPiece, func(_ context.Context, request pieceRequest) (pieceAnswer, error) { return answer(request) })
	listener := p.network.Listen(address)
	go server.Serve(listener)
	p.closers = append(p.closers, server.Close, func() { _ = listener.Close() })
}

// withReceiver runs f in a synctest bubble, with an exchange that fetches from the boxes of p.
func withReceiver(f func(e *Exchange, p *pieceServers)) {
	spectest.Bubble(func() {
		p := &pieceServers{}
		client := peer.NewClient("secret", p.network.Dial, metrics.NewSet())
		self := Box{Name: "me", Address: "me:1"}
		e := NewExchange(Config{Members: NewMembers(self, neverLost), Mirror: &mirror.Mirror{}, Client: client, Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy), Log: zap.NewNop()})
		defer func() {
			client.Close()
			for _, closeOne := range p.closers {
				closeOne()
			}
		}()
		f(e, p)
	})
}

var _ = Describe("a blob", func() {
	It("unpacks to what was packed, and is rejected if it is unreadable or too long", func() {
		value := []byte(strings.Repeat("route ", 10000))
		packed, err := pack(value)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", len(value)/10))
		Expect(unpack(packed)).To(Equal(value))
		_, err = unpack([]byte("nothing"))
		Expect(err).To(MatchError(errBadBlob))
		_, err = unpack(packed[:len(packed)/2])
		Expect(err).To(MatchError(errBadBlob))
		long, err := pack(make([]byte, maxBlobBytes+1))
		Expect(err).NotTo(HaveOccurred())
		_, err = unpack(long)
		Expect(err).To(MatchError(errBadBlob))
	})

	It("of a record is named by key and revision, and packed while the box has that revision", func() {
		id := recordBlob("op/config", 7)
		key, revision, ok := id.record()
		Expect([]any{key, revision, ok}).To(Equal([]any{"op/config", int64(7), true}))
		_, _, ok = blobID("copy/7").record()
		Expect(ok).To(BeFalse())
		var c blobCache
		records := mirrortest.Records(kv.Record{Key: "op/config", Value: []byte("v7"), Revision: 7})
		packed, err := c.get(id, records)
		Expect(err).NotTo(HaveOccurred())
		Expect(unpack(packed)).To(Equal([]byte("v7")))
		By("also after a later change, for the transfers that started before")
		records = mirrortest.Records(kv.Record{Key: "op/config", Value: []byte("v8"), Revision: 8})
		Expect(c.get(id, records)).To(Equal(packed))
		Expect(c.get(recordBlob("op/config", 6), records)).To(BeNil())
		By("but only the latest ones")
		for range maxCachedBlobs {
			c.putLocked(blob{id: "another"})
		}
		Expect(c.get(id, records)).To(BeNil())
	})
})

var _ = Describe("a sender of blobs", func() {
	records := mirrortest.Records(kv.Record{Key: "k", Value: incompressible(3 * pieceBytes / 2), Revision: 5})
	ask := func(s *pieceSender, from string, offset int) pieceAnswer {
		answer, err := s.answer(pieceRequest{From: from, Blob: recordBlob("k", 5), Offset: offset}, records)
		Expect(err).NotTo(HaveOccurred())
		return answer
	}

	It("sends pieces to a few boxes at once, and refers the others to boxes that have the record", func() {
		spectest.Bubble(func() {
			s := newPieceSender(0, nil)
			for n := range minReceivers {
				Expect(ask(s, fmt.Sprint("r", n), 0).Data).To(HaveLen(pieceBytes))
			}
			Expect(ask(s, "late", 0)).To(Equal(pieceAnswer{Size: ask(s, "r0", 0).Size, Busy: true}))
			last := ask(s, "r0", pieceBytes)
			Expect(len(last.Data)).To(Equal(last.Size - pieceBytes))
			Expect(ask(s, "next", 0).Data).To(HaveLen(pieceBytes), "a place is free again")
			Expect(ask(s, "late", 0).Holders).To(Equal([]string{"r0"}))
			By("freeing the places of boxes that stopped asking")
			time.Sleep(receiverTTL + time.Millisecond)
			Expect(ask(s, "late", 0).Busy).To(BeFalse())
		})
	})

	// A relay waited behind the boxes of another hall, and with it all boxes of its own: a configuration of 3,600 routes
	// was in force on the last of 86 boxes after up to 3.4 s.
	It("sends to the relay of another hall at once, while other boxes wait", func() {
		spectest.Bubble(func() {
			s := newPieceSender(0, func(address string) bool { return address == "relay" })
			for n := range minReceivers {
				Expect(ask(s, fmt.Sprint("r", n), 0).Busy).To(BeFalse())
			}
			Expect(ask(s, "late", 0).Busy).To(BeTrue())
			Expect(ask(s, "relay", 0).Data).To(HaveLen(pieceBytes))
			Expect(ask(s, "late", 0).Busy).To(BeTrue())
		})
	})

	It("has no pieces of what it does not have, nor beyond the end", func() {
		s := newPieceSender(0, nil)
		Expect(ask(s, "r", 1<<20)).To(Equal(pieceAnswer{}))
		Expect(ask(s, "r", -1)).To(Equal(pieceAnswer{}))
		Expect(s.answer(pieceRequest{Blob: recordBlob("k", 6)}, records)).To(Equal(pieceAnswer{}))
		Expect(s.answer(pieceRequest{Blob: "copy/1"}, records)).To(Equal(pieceAnswer{}))
	})

	It("keeps the holders of the latest records only", func() {
		s := newPieceSender(0, nil)
		for revision := range int64(maxCachedBlobs + 5) {
			s.recordCompleted(pieceRequest{From: "r", Blob: recordBlob("k", revision)})
			s.recordCompleted(pieceRequest{From: "r", Blob: "copy/1"})
		}
		Expect(s.holders).To(HaveLen(maxCachedBlobs))
		Expect(s.holders).NotTo(HaveKey(recordBlob("k", 0)))
	})
})

var _ = Describe("a transfer", func() {
	value := incompressible(5 * pieceBytes)
	id := recordBlob("k", 5)
	records := mirrortest.Records(kv.Record{Key: "k", Value: value, Revision: 5})

	It("resumes after failed calls where it was", func() {
		withReceiver(func(e *Exchange, p *pieceServers) {
			s := newPieceSender(0, nil)
			calls, bytes := 0, 0
			p.serve("a:1", func(request pieceRequest) (pieceAnswer, error) {
				calls++
				if calls%2 == 0 {
					return pieceAnswer{}, errors.New("fails")
				}
				answer, err := s.answer(request, records)
				bytes += len(answer.Data)
				return answer, err
			})
			Expect(e.fetchBlob(context.Background(), "a:1", id)).To(Equal(value))
			Expect(bytes).To(BeNumerically("<", len(value)+pieceBytes), "no piece is sent twice")
		})
	})

	It("switches to a box that has the blob while the first one is busy, and waits if there is none", func() {
		withReceiver(func(e *Exchange, p *pieceServers) {
			begun := time.Now()
			p.serve("a:1", func(pieceRequest) (pieceAnswer, error) {
				if time.Since(begun) < time.Second {
					return pieceAnswer{Size: 1, Busy: true}, nil
				}
				return pieceAnswer{Size: 1, Busy: true, Holders: []string{"b:1"}}, nil
			})
			s := newPieceSender(0, nil)
			p.serve("b:1", func(request pieceRequest) (pieceAnswer, error) { return s.answer(request, records) })
			Expect(e.fetchBlob(context.Background(), "a:1", id)).To(Equal(value))
			Expect(time.Since(begun)).To(BeNumerically("~", time.Second, 200*time.Millisecond))
		})
	})

	It("ends if the box does not have the blob, keeps failing, or stays busy", func() {
		withReceiver(func(e *Exchange, p *pieceServers) {
			p.serve("without:1", func(pieceRequest) (pieceAnswer, error) { return pieceAnswer{}, nil })
			p.serve("broken:1", func(pieceRequest) (pieceAnswer, error) { return pieceAnswer{}, errors.New("fails") })
			p.serve("busy:1", func(pieceRequest) (pieceAnswer, error) { return pieceAnswer{Size: 1, Busy: true}, nil })
			p.serve("endless:1", func(pieceRequest) (pieceAnswer, error) {
				return pieceAnswer{Size: maxBlobBytes + 1, Data: value}, nil
			})
			fetch := func(address string) error {
				_, err := e.fetchBlob(context.Background(), address, id)
				return err
			}
			Expect(fetch("without:1")).To(MatchError(errNotHeld))
			Expect(fetch("endless:1")).To(MatchError(errNotHeld))
			Expect(fetch("broken:1")).To(MatchError(ContainSubstring("fails")))
			begun := time.Now()
			Expect(fetch("busy:1")).To(MatchError(context.DeadlineExceeded))
			Expect(time.Since(begun)).To(Equal(transferTimeout))
		})
	})
})
