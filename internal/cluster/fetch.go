package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

const (
	// largeValueBytes is the longest value that is sent together with other changes, in bytes. Longer values are
	// fetched on their own, so that nothing waits behind them. It is above the entry of an upstream (about 500
	// bytes) and below a configuration (15 KB and more).
	largeValueBytes = 8 << 10
	// maxExchangedBytes bounds the newer state in one answer to an exchange or a fetch, in bytes; longer state is
	// packed and fetched in pieces. A box that takes all others for lost calls each of them every two seconds, and
	// 380 of them then send it 0.8 MB/s at most. Its link can carry that, so it catches up. A change of an upstream
	// takes about 700 bytes. All boxes of a hall fetch at once what their relay learns: longer answers would keep
	// its link busy, while pieces go to few boxes at a time.
	maxExchangedBytes = 4 << 10
	// maxExchangedChanges is a number of changed records that cannot fit into maxExchangedBytes: each takes 60 bytes
	// at least.
	maxExchangedChanges = maxExchangedBytes / 60
)

// apply applies newer state to the directory and to this box's copy of the store.
func (e *Exchange) apply(newer syncAnswer) {
	if newer.Update != nil {
		e.Directory.Apply(*newer.Update)
	}
	if newer.Delta != nil {
		e.Mirror.ApplyDelta(*newer.Delta)
	}
}

// fetch fetches newer state from a box if newer is set, and the large records that this box lacks. One fetch of each
// kind runs at a time.
func (e *Exchange) fetch(ctx context.Context, address string, newer bool) {
	if newer {
		e.runExclusive(ctx, &e.fetching, address, e.fetchNewer)
	}
	if len(e.Mirror.Missing()) > 0 {
		e.runExclusive(ctx, &e.fetchingLarge, address, e.fetchLargeRecords)
	}
}

// runExclusive runs a fetch unless one of the same kind is in progress, and logs its failure. The next message from
// any box retries it.
func (e *Exchange) runExclusive(ctx context.Context, underway *atomic.Bool, address string, fetch func(context.Context, string) error) {
	if !underway.CompareAndSwap(false, true) {
		return
	}
	defer underway.Store(false)
	if err := fetch(ctx, address); err != nil && ctx.Err() == nil {
		e.Log.Info("newer state not fetched", zap.String("address", address), zap.Int64("revision", kv.SequenceOf(e.Mirror.State().Revision)), logfield.Error(err))
	}
}

// fetchNewer fetches newer state and applies it.
func (e *Exchange) fetchNewer(ctx context.Context, address string) error {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	revision := e.Mirror.State().Revision
	request := syncRequest{
		Revision: kv.SequenceOf(revision), StoreEpoch: kv.EpochOf(revision), NamesEpoch: true,
		Version: e.Directory.Version(), Pieces: true, Binary: true,
	}
	answer, err := peer.Call[syncAnswer](callCtx, e.Client, address, methodSync, request)
	if err != nil {
		return err
	}
	if answer.Packed != "" {
		answer, err = e.fetchPacked(ctx, address, answer.Packed)
	}
	if err != nil {
		return err
	}
	e.apply(answer)
	return nil
}

// fetchPacked fetches newer state that was too long for one answer.
func (e *Exchange) fetchPacked(ctx context.Context, address string, id blobID) (syncAnswer, error) {
	packed, err := e.fetchPackedBlob(ctx, address, id)
	if err != nil {
		return syncAnswer{}, err
	}
	if _, shared := id.shared(); !shared {
		return unpackSyncAnswerJSON(packed) // From a box of the previous version.
	}
	answer, err := unpackSyncAnswer(packed)
	if err != nil {
		return syncAnswer{}, err
	}
	e.sender.blobs.addShared(sharedDelta{
		blob: blob{id: id, packed: packed}, from: answer.Delta.From, to: answer.Delta.Revision, version: answer.Since, packedAt: time.Now(),
	})
	return answer, nil
}

// fetchLargeRecords fetches the large records that this box lacks.
func (e *Exchange) fetchLargeRecords(ctx context.Context, address string) error {
	for _, large := range e.Mirror.Missing() {
		value, err := e.fetchBlob(ctx, address, recordBlob(large.Key, large.Revision))
		if err != nil {
			return err
		}
		e.Mirror.ApplyLarge(kv.Record{Key: large.Key, Value: value, Revision: large.Revision})
	}
	return nil
}

// answerSync answers a sync request. State that is too long for one answer is packed once for many boxes.
func (e *Exchange) answerSync(_ context.Context, request syncRequest) (syncAnswer, error) {
	if !request.Pieces {
		return e.newerThan(request), nil
	}
	if !request.Binary {
		return e.answerSyncAsJSON(request)
	}
	now, own := time.Now(), e.Mirror.State().Revision
	since := request.since(own)
	if id := e.sender.blobs.findShared(since, request.Version, now); id != "" {
		return syncAnswer{Packed: id}, nil
	}
	from := syncFrom{revision: since, version: request.Version}
	if since > 0 {
		from = from.widened(own, e.Directory.Version())
	}
	answer := e.newerThanFrom(from, true)
	if answer.estimatedBytes() <= maxExchangedBytes || answer.Delta == nil {
		return answer, nil
	}
	answer.Since = from.version
	packed, err := packSyncAnswer(answer)
	if err != nil {
		return syncAnswer{}, err
	}
	id := sharedDeltaBlob(from.revision, answer.Delta.Revision)
	e.sender.blobs.addShared(sharedDelta{
		blob: blob{id: id, packed: packed}, from: from.revision, to: answer.Delta.Revision, version: from.version, packedAt: now,
	})
	return syncAnswer{Packed: id}, nil
}

// answerSyncAsJSON answers a sync request of a box of the previous version.
func (e *Exchange) answerSyncAsJSON(request syncRequest) (syncAnswer, error) {
	answer := e.newerThan(request)
	if answer.estimatedBytes() <= maxExchangedBytes || answer.Delta == nil {
		return answer, nil
	}
	packed, err := packSyncAnswerJSON(answer)
	if err != nil {
		return syncAnswer{}, err
	}
	id := blobID(fmt.Sprint("copy/", request.Revision, "/", answer.Delta.Revision))
	e.sender.blobs.put(blob{id: id, packed: packed})
	return syncAnswer{Packed: id}, nil
}

func unpackSyncAnswerJSON(packed []byte) (answer syncAnswer, err error) {
	text, err := unpack(packed)
	if err != nil {
		return syncAnswer{}, err
	}
	err = json.Unmarshal(text, &answer)
	return answer, errors.WithType(err, errBadBlob)
}

func packSyncAnswerJSON(answer syncAnswer) ([]byte, error) {
	text, err := json.Marshal(answer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return pack(text)
}

// answerPiece answers a request for one piece of a blob.
func (e *Exchange) answerPiece(_ context.Context, request pieceRequest) (pieceAnswer, error) {
	if err := e.packHeldConfig(request.Blob); err != nil {
		return pieceAnswer{}, err
	}
	return e.sender.answer(request, e.Mirror.State().Records)
}

// estimatedBytes returns the approximate size of the answer as JSON.
func (a syncAnswer) estimatedBytes() int {
	bytes := 0
	if a.Delta != nil {
		bytes += estimatedDeltaBytes(a.Delta)
	}
	if a.Update != nil {
		for _, residency := range a.Update.Engines {
			bytes += residency.Bytes()
		}
	}
	return bytes
}

// estimatedDeltaBytes returns the approximate size of a delta as JSON: values in base64, and about 60 bytes of names
// and numbers for each record.
func estimatedDeltaBytes(delta *mirror.Delta) int {
	const overhead = 60
	bytes := 0
	for _, record := range delta.Changed {
		bytes += len(record.Key) + len(record.Value)*4/3 + overhead
	}
	for _, key := range delta.Removed {
		bytes += len(key)
	}
	for _, key := range delta.Keys {
		bytes += len(key)
	}
	return bytes + len(delta.Large)*overhead
}

// Bounds of the pause between two requests for a first copy of the store. The pause doubles from the first bound to
// the second, and a random time up to its length is added.
const (
	minBootstrapPause = 200 * time.Millisecond
	maxBootstrapPause = time.Second
)

// bootstrap requests a first copy of the store from the seeds and from the boxes that the store listed first: once
// from all of them, then from a random one at a time. The store itself may be unreachable, or too large for each box
// to read it whole.
func (e *Exchange) bootstrap(ctx context.Context) {
	wait := minBootstrapPause
	for round := 0; e.Mirror.State().Revision == 0; round++ {
		sources := e.bootstrapSources()
		if len(sources) == 0 {
			return
		}
		if round == 0 {
			for _, source := range sources {
				go e.bootstrapFrom(ctx, source)
			}
		} else {
			go e.bootstrapFrom(ctx, sources[rand.IntN(len(sources))])
		}
		if pause.For(ctx, wait+rand.N(wait)) != nil {
			return
		}
		wait = min(2*wait, maxBootstrapPause)
	}
}

// bootstrapSources returns the addresses of boxes that may have a copy of the store.
func (e *Exchange) bootstrapSources() []string {
	var list []string
	for _, address := range append(e.Members.addresses(), e.Seeds...) {
		if address != e.Members.self.Address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list[:min(len(list), maxBootstrapSources)]
}

// maxBootstrapSources bounds the boxes that are asked for a first copy of the store.
const maxBootstrapSources = 32

// bootstrapFrom requests a first copy of the store from one box.
func (e *Exchange) bootstrapFrom(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := peer.Call[message](callCtx, e.Client, address, methodExchange, e.messageTo("", noScope))
	if err != nil {
		e.Log.Info("seed does not answer", zap.String("address", address), logfield.Error(err))
		return
	}
	e.receive(ctx, answer)
}
