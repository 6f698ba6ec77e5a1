package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

const (
	// busyRetryPause is the minimum pause before a busy box is asked again; a random time up to the same length is
	// added. It is about what one of four transfers on a link of 10 Mbit/s takes.
	busyRetryPause = 50 * time.Millisecond
	// transferTimeout bounds one transfer with its pauses, in case its sender stays busy. The pieces received so far
	// are then lost. It is below the bound on the time a change takes to spread in a large fleet (7 s).
	transferTimeout = 4 * time.Second
	// maxPieceFailures is how many pieces in a row may fail before a transfer is abandoned.
	maxPieceFailures = 3
)

// errNotHeld means that a box does not have a blob any more.
const errNotHeld = errors.ConstError("the box does not have this content: ask one that has newer state")

// transfer is the transfer of one blob to this box. Each call fetches one piece within CallTimeout, so that a blob
// of any length arrives, and the pieces received are kept when a call fails.
type transfer struct {
	exchange *Exchange
	blob     blobID
	// address is the box that is asked for pieces, and origin the one that issued the blob's id.
	address  string
	origin   string
	received []byte
	failures int
}

// fetchBlob fetches a blob from a box, or from a holder that this box refers to, and unpacks it. The error is
// errNotHeld, errBadBlob, or that of the last call.
func (e *Exchange) fetchBlob(ctx context.Context, address string, id blobID) ([]byte, error) {
	packed, err := e.fetchPackedBlob(ctx, address, id)
	if err != nil {
		return nil, err
	}
	return unpack(packed)
}

// fetchPackedBlob is fetchBlob without unpacking.
func (e *Exchange) fetchPackedBlob(ctx context.Context, address string, id blobID) (packed []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	t := &transfer{exchange: e, blob: id, address: address, origin: address}
	for {
		complete, err := t.fetchPiece(ctx)
		if err != nil {
			return nil, err
		}
		if complete {
			return t.received, nil
		}
	}
}

// fetchPiece requests the next piece, and reports whether it was the last one.
func (t *transfer) fetchPiece(ctx context.Context) (complete bool, err error) {
	answer, err := t.call(ctx)
	switch {
	case err != nil:
		t.failures++
		if t.failures > maxPieceFailures || ctx.Err() != nil {
			return false, err
		}
		return false, pause.For(ctx, busyRetryPause)
	case answer.Busy:
		return false, t.switchOrWait(ctx, answer.Holders)
	case answer.Size == 0 && t.address != t.origin:
		// A box that was sent the blob may not keep it, as when it runs another version.
		t.address, t.received = t.origin, nil
		return false, pause.For(ctx, busyRetryPause)
	case answer.Size == 0 || answer.Size > maxBlobBytes:
		return false, errors.Annotatef(errNotHeld, "%s at %s", t.blob, t.address)
	}
	t.failures = 0
	t.received = append(t.received, answer.Data...)
	t.exchange.Mirror.NoteArrival()
	if _, _, ok := t.blob.record(); ok {
		t.exchange.Mirror.NoteProgress()
	}
	return len(t.received) >= answer.Size, nil
}

// call makes one call for a piece.
func (t *transfer) call(ctx context.Context) (pieceAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	request := pieceRequest{From: t.exchange.Members.self.Address, Blob: t.blob, Offset: len(t.received)}
	return peer.Call[pieceAnswer](callCtx, t.exchange.Client, t.address, methodPiece, request)
}

// switchOrWait continues at another holder of the blob, or waits for the busy one. Boxes pack a blob to the same
// bytes only if they run the same version, so that a transfer switches only before its first piece.
func (t *transfer) switchOrWait(ctx context.Context, holders []string) error {
	if len(holders) > 0 && len(t.received) == 0 {
		t.address = holders[rand.IntN(len(holders))]
		return nil
	}
	return pause.For(ctx, busyRetryPause+rand.N(busyRetryPause))
}
