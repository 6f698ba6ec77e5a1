package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// Guards against packing newer state separately for each box. After a start of the whole fleet, a relay packed a
// delta for each of its 164 boxes and cached only 16 of them. Boxes logged "the box does not have this content".
// Packing used up the relay's processor time, so that its own calls timed out ("peer lost").
var _ = Describe("newer state for many boxes that follow one relay", func() {
	// relay returns the exchange of a relay whose store has 2000 records, and a function that changes 200 of them.
	relay := func() (e *Exchange, change func()) {
		m := &mirror.Mirror{}
		e = NewExchange(Config{Mirror: m, Directory: fleet.New(), Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy), Log: zap.NewNop()})
		revision := int64(0)
		change = func() {
			delta := mirror.Delta{From: revision}
			for range 200 {
				revision++
				delta.Changed = append(delta.Changed, kv.Record{Key: fmt.Sprint("servers/", revision%2000), Value: make([]byte, 300), Revision: revision})
			}
			delta.Revision = revision
			m.ApplyDelta(delta)
		}
		for range 10 {
			change()
		}
		return e, change
	}

	It("is packed a few times, and every box gets the delta that it was offered", func() {
		spectest.Bubble(func() {
			for _, boxes := range []int{20, 160, 500} {
				e, change := relay()
				offered := map[blobID]int{}
				for round := range 4 {
					for box := range boxes {
						request := syncRequest{Revision: int64(1800 + 200*round - box%150), Pieces: true, Binary: true}
						answer, err := e.answerSync(context.Background(), request)
						Expect(err).NotTo(HaveOccurred())
						Expect(answer.Packed).NotTo(BeEmpty())
						offered[answer.Packed]++
						receiver := &mirror.Mirror{}
						receiver.ApplyDelta(mirror.Delta{Revision: request.Revision})
						packed, err := e.sender.blobs.get(answer.Packed, mirror.Records{})
						Expect(err).NotTo(HaveOccurred())
						Expect(packed).NotTo(BeEmpty(), "the box does not have what it offered")
						time.Sleep(250 * time.Millisecond / time.Duration(boxes))
					}
					change()
				}
				GinkgoWriter.Printf("%d boxes: %d copies packed for %d requests\n", boxes, len(offered), 4*boxes)
				Expect(len(offered)).To(BeNumerically("<=", 4*3), "%d boxes", boxes)
			}
		})
	})

	// Guards against long answers that keep a relay's link busy. All boxes of a hall learn of newer state by the
	// same exchange. With up to 32 KB of state in each answer, the link of a relay with 14 boxes, at 500 KB/s, was
	// busy for 0.6 s, and its other messages waited.
	It("is sent to few boxes at once, however many ask: the answers to all of them together stay short", func() {
		e, _ := relay()
		for _, boxes := range []int{14, 174} {
			for _, behind := range []int64{20, 60, 100, 400} {
				bytes := 0
				for range boxes {
					answer, err := e.answerSync(context.Background(), syncRequest{Revision: 2000 - behind, Pieces: true, Binary: true})
					Expect(err).NotTo(HaveOccurred())
					text, err := json.Marshal(answer)
					Expect(err).NotTo(HaveOccurred())
					bytes += len(text)
				}
				GinkgoWriter.Printf("%d boxes, %d records: %d bytes\n", boxes, behind, bytes)
				Expect(bytes).To(BeNumerically("<=", boxes*maxExchangedBytes*5/4))
			}
		}
	})

	// Guards against dropping a delta while boxes still fetch it. Boxes that start while thousands of entries are
	// added are thousands of revisions behind, each by another number. A delta of 0.7 MB takes seconds to reach all
	// of them, and a new one was packed every 0.4 s.
	It("is kept for as long as boxes may fetch it, also if all are far behind by different numbers of revisions", func() {
		spectest.Bubble(func() {
			for _, boxes := range []int{60, 164, 500} {
				m := &mirror.Mirror{}
				e := NewExchange(Config{Mirror: m, Directory: fleet.New(), Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy), Log: zap.NewNop()})
				delta := mirror.Delta{Revision: 8000}
				for n := range 8000 {
					delta.Changed = append(delta.Changed, kv.Record{Key: fmt.Sprint("servers/", n), Value: incompressible(120), Revision: int64(n + 1)})
				}
				m.ApplyDelta(delta)
				offered := map[blobID]time.Time{}
				for round := range 16 {
					for box := range boxes {
						answer, err := e.answerSync(context.Background(), syncRequest{Revision: int64(1 + box*37%6000), Pieces: true, Binary: true})
						Expect(err).NotTo(HaveOccurred())
						offered[answer.Packed] = time.Now()
					}
					time.Sleep(250 * time.Millisecond)
					revision := int64(8001 + round)
					m.ApplyDelta(mirror.Delta{From: revision - 1, Revision: revision, Changed: []kv.Record{{Key: "servers/1", Value: incompressible(120), Revision: revision}}})
					for id, at := range offered {
						packed, err := e.sender.blobs.get(id, mirror.Records{})
						Expect(err).NotTo(HaveOccurred())
						if time.Since(at) < transferTimeout {
							Expect(packed).NotTo(BeEmpty(), "round %d: %s, offered %v ago", round, id, time.Since(at))
						}
					}
				}
				GinkgoWriter.Printf("%d boxes far behind: %d copies packed for %d requests\n", boxes, len(offered), 16*boxes)
				Expect(len(offered)).To(BeNumerically("<=", 8))
			}
		})
	})

	It("brings each box to the same state, whatever it had", func() {
		e, change := relay()
		for n := range 3 {
			for _, revision := range []int64{0, 1500, 1900, 1999} {
				answer, err := e.answerSync(context.Background(), syncRequest{Revision: revision, Pieces: true, Binary: true})
				Expect(err).NotTo(HaveOccurred())
				if answer.Packed != "" {
					packed, err := e.sender.blobs.get(answer.Packed, mirror.Records{})
					Expect(err).NotTo(HaveOccurred())
					answer, err = unpackSyncAnswer(packed)
					Expect(err).NotTo(HaveOccurred())
				}
				Expect(answer.Delta.From).To(BeNumerically("<=", revision))
				Expect(answer.Delta.Revision).To(BeNumerically(">=", int64(2000)), "round %d, from %d", n, revision)
			}
			change()
		}
	})
})
