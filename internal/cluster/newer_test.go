package cluster

import (
	"context"
	"encoding/json"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

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

var _ = Describe("what a box tells of a configuration that the store does not have", func() {
	DescribeTable("loses nothing else of its message", func(claim string, version int64) {
		var read message
		Expect(json.Unmarshal([]byte(`{"heldConfig":`+claim+`,"revision":5}`), &read)).To(Succeed())
		Expect(read.Revision).To(Equal(int64(5)))
		if claim == "null" {
			Expect(read.HeldConfig).To(BeNil())
			return
		}
		Expect(read.HeldConfig.Version).To(Equal(version))
		Expect(read.HeldConfig.unreadable == "").To(Equal(version != 0))
	},
		Entry("a version", `{"version":5,"blob":"inforce/5/ab"}`, int64(5)),
		Entry("with a field of a later build", `{"version":5,"blob":"inforce/5/ab","more":[1]}`, int64(5)),
		Entry("none", `null`, int64(0)),
		Entry("negative", `{"version":-5,"blob":"inforce/5/ab"}`, int64(0)),
		Entry("larger than a number of 64 bits", `{"version":1e300,"blob":"inforce/5/ab"}`, int64(0)),
		Entry("a fraction", `{"version":5.5,"blob":"inforce/5/ab"}`, int64(0)),
		Entry("no version", `{"blob":"inforce/5/ab"}`, int64(0)),
		Entry("another blob", `{"version":5,"blob":"record/5/op/config"}`, int64(0)),
		Entry("another type", `"5"`, int64(0)),
		Entry("a list", `[5]`, int64(0)),
	)

	It("is not sent while the store has it, so that a message is as before", func() {
		Expect(asJSON(message{})).NotTo(ContainSubstring("heldConfig"))
	})

	DescribeTable("is taken only if its version can be right, and logged once if not", func(own, claimed int64, taken bool) {
		logged, lines := observer.New(zap.InfoLevel)
		e := exchangeWithCopy(1)
		e.Log = zap.New(logged)
		e.VersionInForce, e.PutInForce = func() int64 { return own }, func(HeldConfig) error { return nil }
		received := message{From: Box{Name: "a"}, HeldConfig: &heldConfigClaim{Version: claimed, Blob: "inforce/1/a"}}
		e.fetchingConfig.Store(true) // So that nothing is fetched here.
		for range 3 {
			e.applyHeldClaim(context.Background(), received)
		}
		Expect(lines.Len() == 0).To(Equal(taken))
		Expect(lines.Len()).To(BeNumerically("<=", 1))
	},
		Entry("newer", int64(22), int64(26), true),
		Entry("older", int64(26), int64(22), true),
		Entry("versions that are times in nanoseconds", int64(1774838396754284683), int64(1774838396754284683)+int64(1e9), true),
		Entry("far above", int64(22), int64(22)+maxVersionLead+1, false),
		Entry("the largest number", int64(22), int64(math.MaxInt64), false),
		Entry("the largest number above a negative one", int64(-22), int64(math.MaxInt64), false),
		Entry("without a configuration of its own", int64(0), int64(26), true),
	)
})
