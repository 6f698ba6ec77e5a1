package gateway

import (
	"io"
	"time"
)

// What is read of an answer that is not used, so that its connection can be reused. Its request goes on elsewhere after
// that, and a faulty upstream may send bytes without end.
const (
	maxDiscardedBytes = 16 << 10
	maxDiscardTime    = 20 * time.Millisecond
)

// discard drops an answer. It is read as far as it is short, and its connection is closed otherwise.
func (g *Gateway) discard(answer *Answer) {
	defer func() { _ = answer.Body.Close() }() // Nothing of it is used, so an error does not matter.
	if answer.EndsWithConnection {
		return
	}
	late := time.AfterFunc(maxDiscardTime, func() { _ = answer.Body.Close() })
	_, err := io.CopyN(io.Discard, answer.Body, maxDiscardedBytes)
	if tookTooLong := !late.Stop(); tookTooLong || err == nil {
		g.countTooLong("unused")
	}
}
