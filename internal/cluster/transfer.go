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
	// busyPause is how long a box waits at least before it asks a busy one again, and as long again at
	// random. About what one of four transfers on a link of 10 Mbit/s takes.
	busyPause = 50 * time.Millisecond
	// transferTime bounds one transfer with its waits, in case its sender stays busy. What arrived is
	// lost then. Below the bound on a change in a large fleet (7 s).
	transferTime = 4 * time.Second
	// maxFailures is how many pieces in a row may fail before a transfer is given up.
	maxFailures = 3
)

// errNotHeld means that a box does not have a content any more.
const errNotHeld = errors.ConstError("the box does not have this content: ask one that has newer state")

// transfer is one content on its way to this box. Each call brings one piece and has CallTimeout, so that a
// content arrives however long it is, and what has arrived is kept when a call fails.
type transfer struct {
	exchange *Exchange
	content  contentID
	// address is the box that is asked, and origin the one that named the content.
	address  string
	origin   string
	received []byte
	failures int
}

// fetchContent brings a content from a box, or from one that this box refers to, and unpacks it. The error is
// errNotHeld, errContent, or that of the last call.
func (e *Exchange) fetchContent(ctx context.Context, address string, id contentID) ([]byte, error) {
	packed, err := e.fetchPackedContent(ctx, address, id)
	if err != nil {
		return nil, err
	}
	return unpack(packed)
}

// fetchPackedContent is fetchContent that does not unpack what came.
func (e *Exchange) fetchPackedContent(ctx context.Context, address string, id contentID) (packed []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, transferTime)
	defer cancel()
	t := &transfer{exchange: e, content: id, address: address, origin: address}
	for {
		complete, err := t.step(ctx)
		if err != nil {
			return nil, err
		}
		if complete {
			return t.received, nil
		}
	}
}

// step asks for the next piece, and reports whether it was the last one.
func (t *transfer) step(ctx context.Context) (complete bool, err error) {
	answer, err := t.call(ctx)
	switch {
	case err != nil:
		t.failures++
		if t.failures > maxFailures || ctx.Err() != nil {
			return false, err
		}
		return false, pause.For(ctx, busyPause)
	case answer.Busy:
		return false, t.wait(ctx, answer.Holders)
	case answer.Size == 0 && t.address != t.origin:
		// Whoever was sent it may not keep it, as a box of another version.
		t.address, t.received = t.origin, nil
		return false, pause.For(ctx, busyPause)
	case answer.Size == 0 || answer.Size > maxContentBytes:
		return false, errors.Annotatef(errNotHeld, "%s at %s", t.content, t.address)
	}
	t.failures = 0
	t.received = append(t.received, answer.Data...)
	t.exchange.Mirror.NoteArrival()
	if _, _, ok := t.content.record(); ok {
		t.exchange.Mirror.NoteProgress()
	}
	return len(t.received) >= answer.Size, nil
}

// call makes one call for a piece.
func (t *transfer) call(ctx context.Context) (pieceAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	request := pieceRequest{From: t.exchange.Members.self.Address, Content: t.content, Offset: len(t.received)}
	return peer.Call[pieceAnswer](callCtx, t.exchange.Client, t.address, methodPiece, request)
}

// wait goes on at another box that has the content, or waits for the busy one. Boxes pack alike only if they
// run the same version, so that a transfer that goes elsewhere begins anew there.
func (t *transfer) wait(ctx context.Context, holders []string) error {
	if len(holders) > 0 && len(t.received) == 0 {
		t.address = holders[rand.IntN(len(holders))]
		return nil
	}
	return pause.For(ctx, busyPause+rand.N(busyPause))
}
