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

// incompressible is a value of a number of bytes that packing does not shorten.
func incompressible(bytes int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	value := make([]byte, bytes)
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return value
}

// pieceServers are boxes that answer requests for pieces, each its own way.
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

// withReceiver runs f with an exchange that fetches from boxes of p, in a bubble.
func withReceiver(f func(e *Exchange, p *pieceServers)) {
	spectest.Bubble(func() {
		p := &pieceServers{}
		client := peer.NewClient("secret", p.network.Dial, metrics.NewSet())
		self := Box{Name: "me", Address: "me:1"}
		e := NewExchange(Config{Members: NewMembers(self, reaches), Mirror: &mirror.Mirror{}, Client: client, Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy), Log: zap.NewNop()})
		defer func() {
			client.Close()
			for _, closeOne := range p.closers {
				closeOne()
			}
		}()
		f(e, p)
	})
}

var _ = Describe("a content", func() {
	It("is what was packed, and refused if it cannot be read or is too long", func() {
		value := []byte(strings.Repeat("route ", 10000))
		packed, err := pack(value)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", len(value)/10))
		Expect(unpack(packed)).To(Equal(value))
		_, err = unpack([]byte("nothing"))
		Expect(err).To(MatchError(errContent))
		_, err = unpack(packed[:len(packed)/2])
		Expect(err).To(MatchError(errContent))
		long, err := pack(make([]byte, maxContentBytes+1))
		Expect(err).NotTo(HaveOccurred())
		_, err = unpack(long)
		Expect(err).To(MatchError(errContent))
	})

	It("of a record is named by key and revision, and packed as long as the box has that revision", func() {
		id := recordContent("op/config", 7)
		key, revision, ok := id.record()
		Expect([]any{key, revision, ok}).To(Equal([]any{"op/config", int64(7), true}))
		_, _, ok = contentID("copy/7").record()
		Expect(ok).To(BeFalse())
		var c contents
		records := mirrortest.Records(kv.Record{Key: "op/config", Value: []byte("v7"), Revision: 7})
		packed, err := c.get(id, records)
		Expect(err).NotTo(HaveOccurred())
		Expect(unpack(packed)).To(Equal([]byte("v7")))
		By("also after a later change, for the transfers that began before")
		records = mirrortest.Records(kv.Record{Key: "op/config", Value: []byte("v8"), Revision: 8})
		Expect(c.get(id, records)).To(Equal(packed))
		Expect(c.get(recordContent("op/config", 6), records)).To(BeNil())
		By("but only the latest ones")
		for range keptContents {
			c.add(content{id: "another"})
		}
		Expect(c.get(id, records)).To(BeNil())
	})
})

var _ = Describe("a sender of contents", func() {
	records := mirrortest.Records(kv.Record{Key: "k", Value: incompressible(3 * pieceBytes / 2), Revision: 5})
	ask := func(s *sender, from string, offset int) pieceAnswer {
		answer, err := s.answer(pieceRequest{From: from, Content: recordContent("k", 5), Offset: offset}, records)
		Expect(err).NotTo(HaveOccurred())
		return answer
	}

	It("sends pieces to a few boxes at once, and names those that have the record to the others", func() {
		spectest.Bubble(func() {
			s := newSender(0)
			for n := range leastReceivers {
				Expect(ask(s, fmt.Sprint("r", n), 0).Data).To(HaveLen(pieceBytes))
			}
			Expect(ask(s, "late", 0)).To(Equal(pieceAnswer{Size: ask(s, "r0", 0).Size, Busy: true}))
			last := ask(s, "r0", pieceBytes)
			Expect(len(last.Data)).To(Equal(last.Size - pieceBytes))
			Expect(ask(s, "next", 0).Data).To(HaveLen(pieceBytes), "a place is free again")
			Expect(ask(s, "late", 0).Holders).To(Equal([]string{"r0"}))
			By("taking back places whose boxes ask no more")
			time.Sleep(receiverTTL + time.Millisecond)
			Expect(ask(s, "late", 0).Busy).To(BeFalse())
		})
	})

	It("has no pieces of what it does not have, nor beyond the end", func() {
		s := newSender(0)
		Expect(ask(s, "r", 1<<20)).To(Equal(pieceAnswer{}))
		Expect(ask(s, "r", -1)).To(Equal(pieceAnswer{}))
		Expect(s.answer(pieceRequest{Content: recordContent("k", 6)}, records)).To(Equal(pieceAnswer{}))
		Expect(s.answer(pieceRequest{Content: "copy/1"}, records)).To(Equal(pieceAnswer{}))
	})

	It("keeps the holders of the latest records only", func() {
		s := newSender(0)
		for revision := range int64(keptContents + 5) {
			s.completed(pieceRequest{From: "r", Content: recordContent("k", revision)})
			s.completed(pieceRequest{From: "r", Content: "copy/1"})
		}
		Expect(s.holders).To(HaveLen(keptContents))
		Expect(s.holders).NotTo(HaveKey(recordContent("k", 0)))
	})
})

var _ = Describe("a transfer", func() {
	value := incompressible(5 * pieceBytes)
	id := recordContent("k", 5)
	records := mirrortest.Records(kv.Record{Key: "k", Value: value, Revision: 5})

	It("goes on after failed calls where it was", func() {
		withReceiver(func(e *Exchange, p *pieceServers) {
			s := newSender(0)
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
			Expect(e.fetchContent(context.Background(), "a:1", id)).To(Equal(value))
			Expect(bytes).To(BeNumerically("<", len(value)+pieceBytes), "no piece is sent twice")
		})
	})

	It("goes to a box that has the content while the first one is busy, and waits if there is none", func() {
		withReceiver(func(e *Exchange, p *pieceServers) {
			begun := time.Now()
			p.serve("a:1", func(pieceRequest) (pieceAnswer, error) {
				if time.Since(begun) < time.Second {
					return pieceAnswer{Size: 1, Busy: true}, nil
				}
				return pieceAnswer{Size: 1, Busy: true, Holders: []string{"b:1"}}, nil
			})
			s := newSender(0)
			p.serve("b:1", func(request pieceRequest) (pieceAnswer, error) { return s.answer(request, records) })
			Expect(e.fetchContent(context.Background(), "a:1", id)).To(Equal(value))
			Expect(time.Since(begun)).To(BeNumerically("~", time.Second, 200*time.Millisecond))
		})
	})

	It("ends if the box does not have the content, fails again and again, or stays busy", func() {
		withReceiver(func(e *Exchange, p *pieceServers) {
			p.serve("without:1", func(pieceRequest) (pieceAnswer, error) { return pieceAnswer{}, nil })
			p.serve("broken:1", func(pieceRequest) (pieceAnswer, error) { return pieceAnswer{}, errors.New("fails") })
			p.serve("busy:1", func(pieceRequest) (pieceAnswer, error) { return pieceAnswer{Size: 1, Busy: true}, nil })
			p.serve("endless:1", func(pieceRequest) (pieceAnswer, error) {
				return pieceAnswer{Size: maxContentBytes + 1, Data: value}, nil
			})
			fetch := func(address string) error {
				_, err := e.fetchContent(context.Background(), address, id)
				return err
			}
			Expect(fetch("without:1")).To(MatchError(errNotHeld))
			Expect(fetch("endless:1")).To(MatchError(errNotHeld))
			Expect(fetch("broken:1")).To(MatchError(ContainSubstring("fails")))
			begun := time.Now()
			Expect(fetch("busy:1")).To(MatchError(context.DeadlineExceeded))
			Expect(time.Since(begun)).To(Equal(transferTime))
		})
	})
})
