package cluster

import (
	"context"
	"fmt"
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// syncAnswerOf returns an answer with a number of upstream entries.
func syncAnswerOf(records int) syncAnswer {
	delta := &mirror.Delta{From: 3, Revision: int64(records) + 3, Removed: []string{"servers/gone"}, Large: []mirror.LargeRecord{{Key: "config", Revision: 4}}}
	for n := range records {
		value := fmt.Sprintf(`{"service":"llm","address":"10.0.%d.%d:8501","zone":"h%d","slots":64,"state":"ready","models":[{"name":"m%d"},{"name":"m%d"}]}`, n/250, n%250, n%7, n%399, n%398)
		delta.Changed = append(delta.Changed, kv.Record{Key: fmt.Sprintf("servers/%07d", n*7919%1000003), Value: []byte(value), Revision: int64(n + 4), Version: int64(n % 3)})
	}
	return syncAnswer{
		Delta: delta, Since: fleet.Version{Term: 2, Sequence: 8},
		Update: &fleet.Update{Version: fleet.Version{Term: 2, Sequence: 9}, Engines: map[string]fleet.Residency{"e": {Sequence: 9, Loaded: []string{"m"}}}},
	}
}

var _ = Describe("a packed sync answer", func() {
	It("unpacks to what was packed", func() {
		for _, records := range []int{0, 1, 700} {
			answer := syncAnswerOf(records)
			packed, err := packSyncAnswer(answer)
			Expect(err).NotTo(HaveOccurred())
			Expect(unpackSyncAnswer(packed)).To(Equal(answer))
		}
	})

	It("is rejected if it is truncated, changed, of another format or too long", func() {
		packed, err := packSyncAnswer(syncAnswerOf(300))
		Expect(err).NotTo(HaveOccurred())
		for at := 0; at < len(packed); at += 97 {
			_, err := unpackSyncAnswer(packed[:at])
			Expect(err).To(MatchError(errBadBlob), "cut at %d", at)
		}
		raw, err := unpack(packed)
		Expect(err).NotTo(HaveOccurred())
		for _, at := range []int{0, 1, 2, 3} {
			changed := append([]byte{}, raw...)
			changed[at] ^= 0x7f
			again, err := pack(changed)
			Expect(err).NotTo(HaveOccurred())
			_, err = unpackSyncAnswer(again)
			Expect(err).To(MatchError(errBadBlob), "changed at %d", at)
		}
		long := syncAnswerOf(1)
		long.Delta.Changed[0].Value = make([]byte, maxBlobBytes)
		again, err := packSyncAnswer(long)
		Expect(err).NotTo(HaveOccurred())
		_, err = unpackSyncAnswer(again)
		Expect(err).To(MatchError(errBadBlob))
	})

	// Guards against decoding that allocates far more than it keeps: with JSON it was four and a half times as much.
	It("allocates little more memory than what is kept of it", func() {
		for _, records := range []int{500, 5000} {
			packed, err := packSyncAnswer(syncAnswerOf(records))
			Expect(err).NotTo(HaveOccurred())
			kept := 0
			for _, record := range syncAnswerOf(records).Delta.Changed {
				kept += len(record.Key) + len(record.Value) + 64
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = unpackSyncAnswer(packed)
			runtime.ReadMemStats(&after)
			Expect(err).NotTo(HaveOccurred())
			taken := after.TotalAlloc - before.TotalAlloc
			GinkgoWriter.Printf("%d records: %d bytes allocated for %d kept\n", records, taken, kept)
			Expect(taken).To(BeNumerically("<", 3*kept+100_000))
		}
	})

	It("is sent as JSON to a box of the previous version", func() {
		m := &mirror.Mirror{}
		e := NewExchange(Config{Mirror: m, Directory: fleet.New(), Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy), Log: zap.NewNop()})
		whole := *syncAnswerOf(3000).Delta
		whole.From = 0
		m.ApplyDelta(whole)
		answer, err := e.answerSync(context.Background(), syncRequest{Pieces: true})
		Expect(err).NotTo(HaveOccurred())
		_, shared := answer.Packed.shared()
		Expect(shared).To(BeFalse())
		packed, err := e.sender.blobs.get(answer.Packed, mirror.Records{})
		Expect(err).NotTo(HaveOccurred())
		answer, err = unpackSyncAnswerJSON(packed)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Delta.Changed).To(HaveLen(3000))
	})
})
