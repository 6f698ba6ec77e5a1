package cluster

import (
	"encoding/json"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// exchangeWithCopy returns an exchange of a box whose copy of the store has some records at a revision.
func exchangeWithCopy(revision int64, records ...kv.Record) *Exchange {
	m := &mirror.Mirror{}
	delta := mirror.Delta{Revision: revision, Changed: records, HasAllKeys: true}
	for _, record := range records {
		delta.Keys = append(delta.Keys, record.Key)
	}
	Expect(m.ApplyDelta(delta)).To(BeTrue())
	return NewExchange(Config{
		Members: NewMembers(Box{Name: "b"}, neverLost), Mirror: m, Directory: fleet.New(), Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy), Log: zap.NewNop(),
	})
}

var _ = Describe("boxes of different epochs of the store", func() {
	record := func(epoch, sequence int64) kv.Record {
		return kv.Record{Key: "k", Value: []byte("v"), Revision: kv.RevisionAt(epoch, sequence)}
	}

	It("send revisions as sequence numbers under an epoch, which a box of the previous version reads as revisions", func() {
		delta := mirror.Delta{From: kv.RevisionAt(2, 3), Revision: kv.RevisionAt(2, 5), Changed: []kv.Record{record(2, 4)}, Large: []mirror.LargeRecord{{Key: "l", Revision: kv.RevisionAt(2, 5)}}}
		text := asJSON(delta)
		Expect(text).To(Equal(`{"from":3,"revision":5,"changed":[{"Key":"k","Value":"dg==","Revision":4,"Version":0}],"large":[{"key":"l","revision":5}],"epoch":2}`))
		var read mirror.Delta
		Expect(json.Unmarshal([]byte(text), &read)).To(Succeed())
		Expect(read).To(Equal(delta))
		Expect(asJSON(message{Revision: 5, StoreEpoch: 2, NamesEpoch: true})).To(ContainSubstring(`"revision":5,"storeEpoch":2,"namesEpoch":true`))
		Expect(asJSON(syncRequest{Revision: 5, StoreEpoch: 2, NamesEpoch: true})).To(Equal(`{"revision":5,"storeEpoch":2,"namesEpoch":true,"stamp":{}}`))
	})

	It("send a delta from an earlier epoch as one for every copy", func() {
		e := exchangeWithCopy(kv.RevisionAt(2, 5), record(2, 4))
		answer := e.newerThan(syncRequest{Revision: 900, StoreEpoch: 1, NamesEpoch: true, Pieces: true})
		var read mirror.Delta
		Expect(json.Unmarshal([]byte(asJSON(answer.Delta)), &read)).To(Succeed())
		behind := exchangeWithCopy(kv.RevisionAt(1, 900), record(1, 900), kv.Record{Key: "lost", Revision: kv.RevisionAt(1, 899)})
		Expect(behind.Mirror.ApplyDelta(read)).To(BeTrue())
		Expect(behind.Mirror.State().Records.Len()).To(Equal(1))
		packed, err := packSyncAnswer(answer)
		Expect(err).NotTo(HaveOccurred())
		unpacked, err := unpackSyncAnswer(packed)
		Expect(err).NotTo(HaveOccurred())
		Expect(unpacked.Delta.Changed).To(Equal([]kv.Record{record(2, 4)}))
	})

	It("know who is behind by the epoch first", func() {
		e := exchangeWithCopy(kv.RevisionAt(2, 5), record(2, 4))
		Expect(e.behind(message{Revision: 900, StoreEpoch: 1, NamesEpoch: true})).To(BeFalse())
		Expect(e.behind(message{Revision: 1, StoreEpoch: 3, NamesEpoch: true})).To(BeTrue())
	})

	It("give a box of the previous version the changes since its revision, and take none from it", func() {
		e := exchangeWithCopy(kv.RevisionAt(2, 5), record(2, 4), kv.Record{Key: "old", Revision: kv.RevisionAt(2, 2)})
		answer := e.newerThan(syncRequest{Revision: 3, Pieces: true})
		Expect(answer.Delta.Changed).To(Equal([]kv.Record{record(2, 4)}))
		Expect(asJSON(answer.Delta)).To(HavePrefix(`{"from":3,"revision":5,`))
		fromPrevious := message{Revision: 900, Delta: &mirror.Delta{From: 5, Revision: 900, Changed: []kv.Record{{Key: "k", Revision: 900}}}}
		Expect(e.behind(fromPrevious)).To(BeFalse())
		e.apply(syncAnswer{Delta: fromPrevious.Delta})
		Expect(e.Mirror.State().Revision).To(Equal(kv.RevisionAt(2, 5)))
		packed, err := e.sender.blobs.get("record/4/k", e.Mirror.State().Records)
		Expect(err).NotTo(HaveOccurred())
		Expect(unpack(packed)).To(Equal([]byte("v")))
	})

	It("find a large record by its epoch", func() {
		e := exchangeWithCopy(kv.RevisionAt(2, 5), record(2, 4))
		records := e.Mirror.State().Records
		Expect(e.sender.blobs.get(recordBlob("k", kv.RevisionAt(1, 4)), records)).To(BeNil())
		Expect(e.sender.blobs.get(recordBlob("k", kv.RevisionAt(2, 4)), records)).NotTo(BeNil())
	})

	It("share a packed delta within one epoch only", func() {
		shared := sharedDelta{from: kv.RevisionAt(1, 400), to: kv.RevisionAt(1, 500)}
		Expect(shared.satisfies(kv.RevisionAt(1, 450), fleet.Version{}, shared.packedAt)).To(BeTrue())
		Expect(shared.satisfies(kv.RevisionAt(2, 450), fleet.Version{}, shared.packedAt)).To(BeFalse())
		Expect(kv.EpochOf(syncFrom{revision: kv.RevisionAt(2, 10)}.widened(kv.RevisionAt(3, 5), fleet.Version{}).revision)).To(BeNumerically("<", 3))
		Expect(kv.RevisionAt(math.MaxInt64, 1)).To(BeNumerically(">", 0))
	})
})
