package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
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
	// largeValueBytes is the longest value that is sent with other changes, in bytes. Longer ones are
	// fetched on their own, so that nothing waits behind them. Above the entry of an upstream (about 500
	// bytes), below a configuration (15 KB and more).
	largeValueBytes = 8 << 10
	// maxExchangedBytes is the longest newer state that an answer to an exchange or to a fetch holds, in bytes; a longer one is
	// packed and fetched in pieces. A box that takes all others for lost calls each every two seconds, and from 380 of them gets 0.8
	// MB/s at most, so that its link cannot keep it behind. A change of an upstream takes about 700 bytes. All boxes of a hall fetch
	// at once what their relay learns: longer answers would keep its link busy, while pieces go to few boxes at a time.
	maxExchangedBytes = 4 << 10
	// maxExchangedChanges is how many changed records cannot fit into that: each takes 60 bytes at least.
	maxExchangedChanges = maxExchangedBytes / 60
)

// apply takes in newer state.
func (e *Exchange) apply(newer copyAnswer) {
	if newer.Update != nil {
		e.Directory.Apply(*newer.Update)
	}
	if newer.Delta != nil {
		e.Mirror.ApplyDelta(*newer.Delta)
	}
}

// newerThan is what this box has newer than a copy of the store and a version of the directory. pieces
// means that the other box fetches large records in pieces.
func (e *Exchange) newerThan(request copyRequest) copyAnswer {
	newer := copyAnswer{Update: e.Directory.UpdateSince(request.Version)}
	switch {
	case request.Pieces:
		newer.Delta = e.Mirror.DeltaSince(request.Revision, largeValueBytes)
	case len(e.Mirror.Missing()) == 0:
		newer.Delta = e.Mirror.DeltaSince(request.Revision, math.MaxInt)
	}
	return newer
}

// fetch asks a box for what it has newer, and for the records that this box lacks; one of each runs at a time.
func (e *Exchange) fetch(ctx context.Context, address string, newer bool) {
	if newer {
		e.once(ctx, &e.fetching, address, e.fetchCopy)
	}
	if len(e.Mirror.Missing()) > 0 {
		e.once(ctx, &e.fetchingLarge, address, e.fetchLarge)
	}
}

// once runs a fetch unless the same one is under way, and logs its failure. The next message from any box begins
// another one.
func (e *Exchange) once(ctx context.Context, underway *atomic.Bool, address string, fetch func(context.Context, string) error) {
	if !underway.CompareAndSwap(false, true) {
		return
	}
	defer underway.Store(false)
	if err := fetch(ctx, address); err != nil && ctx.Err() == nil {
		e.Log.Info("newer state not fetched", zap.String("address", address), zap.Int64("revision", e.Mirror.State().Revision), logfield.Error(err))
	}
}

// fetchCopy brings newer state.
func (e *Exchange) fetchCopy(ctx context.Context, address string) error {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	request := copyRequest{Revision: e.Mirror.State().Revision, Version: e.Directory.Version(), Pieces: true, Binary: true}
	answer, err := peer.Call[copyAnswer](callCtx, e.Client, address, methodCopy, request)
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

// fetchPacked brings newer state that was too long for one answer.
func (e *Exchange) fetchPacked(ctx context.Context, address string, id contentID) (copyAnswer, error) {
	packed, err := e.fetchPackedContent(ctx, address, id)
	if err != nil {
		return copyAnswer{}, err
	}
	if _, shared := id.shared(); !shared {
		return unpackAnswer(packed) // Of a box of the version before.
	}
	answer, err := unpackCopy(packed)
	if err != nil {
		return copyAnswer{}, err
	}
	e.sender.contents.addShared(sharedCopy{
		content: content{id: id, packed: packed}, from: answer.Delta.From, to: answer.Delta.Revision, version: answer.Since, at: time.Now(),
	})
	return answer, nil
}

// fetchLarge brings the records that this box lacks.
func (e *Exchange) fetchLarge(ctx context.Context, address string) error {
	for _, large := range e.Mirror.Missing() {
		value, err := e.fetchContent(ctx, address, recordContent(large.Key, large.Revision))
		if err != nil {
			return err
		}
		e.Mirror.ApplyLarge(kv.Record{Key: large.Key, Value: value, Revision: large.Revision})
	}
	return nil
}

// answerCopy answers a fetch.
func (e *Exchange) answerCopy(_ context.Context, request copyRequest) (copyAnswer, error) {
	if !request.Pieces {
		return e.newerThan(request), nil
	}
	if !request.Binary {
		return e.answerCopyAsJSON(request)
	}
	now := time.Now()
	if id := e.sender.contents.sharedFor(request, now); id != "" {
		return copyAnswer{Packed: id}, nil
	}
	from := request
	if request.Revision > 0 {
		from = widened(request, e.Mirror.State().Revision, e.Directory.Version())
	}
	answer := e.newerThan(from)
	if answer.bytes() <= maxExchangedBytes || answer.Delta == nil {
		return answer, nil
	}
	answer.Since = from.Version
	packed, err := packCopy(answer)
	if err != nil {
		return copyAnswer{}, err
	}
	id := sharedContent(from.Revision, answer.Delta.Revision)
	e.sender.contents.addShared(sharedCopy{
		content: content{id: id, packed: packed}, from: from.Revision, to: answer.Delta.Revision, version: from.Version, at: now,
	})
	return copyAnswer{Packed: id}, nil
}

// answerCopyAsJSON answers a fetch of a box of the version before.
func (e *Exchange) answerCopyAsJSON(request copyRequest) (copyAnswer, error) {
	answer := e.newerThan(request)
	if answer.bytes() <= maxExchangedBytes || answer.Delta == nil {
		return answer, nil
	}
	packed, err := packAnswer(answer)
	if err != nil {
		return copyAnswer{}, err
	}
	id := contentID(fmt.Sprint("copy/", request.Revision, "/", answer.Delta.Revision))
	e.sender.contents.keep(content{id: id, packed: packed})
	return copyAnswer{Packed: id}, nil
}

func unpackAnswer(packed []byte) (answer copyAnswer, err error) {
	text, err := unpack(packed)
	if err != nil {
		return copyAnswer{}, err
	}
	err = json.Unmarshal(text, &answer)
	return answer, errors.WithType(err, errContent)
}

func packAnswer(answer copyAnswer) ([]byte, error) {
	text, err := json.Marshal(answer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return pack(text)
}

// answerPiece answers a request for a part of a content.
func (e *Exchange) answerPiece(_ context.Context, request pieceRequest) (pieceAnswer, error) {
	return e.sender.answer(request, e.Mirror.State().Records)
}

// bytes is about how long the answer is.
func (a copyAnswer) bytes() int {
	bytes := 0
	if a.Delta != nil {
		bytes += deltaBytes(a.Delta)
	}
	if a.Update != nil {
		for _, residency := range a.Update.Engines {
			bytes += residency.Bytes()
		}
	}
	return bytes
}

// deltaBytes is about how long a delta is as JSON: values in base64, and some 60 bytes of names and numbers
// for each record.
func deltaBytes(delta *mirror.Delta) int {
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

// Pauses between two asks for a first copy of the store; they double.
const (
	firstAskPause = 200 * time.Millisecond
	longAskPause  = time.Second
)

// awaitCopy gets a first copy from the boxes named in the settings, and those that the store listed first: the store may be away, or too
// large for each box to read it whole.
func (e *Exchange) awaitCopy(ctx context.Context) {
	wait := firstAskPause
	for round := 0; e.Mirror.State().Revision == 0; round++ {
		sources := e.sources()
		if len(sources) == 0 {
			return
		}
		if round == 0 {
			for _, source := range sources {
				go e.askSeed(ctx, source)
			}
		} else {
			go e.askSeed(ctx, sources[rand.IntN(len(sources))])
		}
		if pause.For(ctx, wait+rand.N(wait)) != nil {
			return
		}
		wait = min(2*wait, longAskPause)
	}
}

// sources are the boxes that may have a copy, by address.
func (e *Exchange) sources() []string {
	var list []string
	for _, address := range append(e.Members.addresses(), e.Seeds...) {
		if address != e.Members.self.Address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list[:min(len(list), maxSources)]
}

// maxSources bounds the boxes that are asked for a first copy.
const maxSources = 32

// askSeed gets a first copy from one box.
func (e *Exchange) askSeed(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := peer.Call[message](callCtx, e.Client, address, methodExchange, e.messageTo("", noScope))
	if err != nil {
		e.Log.Info("seed does not answer", zap.String("address", address), logfield.Error(err))
		return
	}
	e.receive(ctx, answer)
}
