// Package eventstream cuts a stream of server-sent events into whole events.
//
// It owns nothing and relies on nothing but the source that it reads. internal/gateway uses it, so that
// a stream which breaks can resume after the last whole event. `ospreymoor serve` has no use for it: its
// engines answer by typed messages.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/juju/errors"
)

// MaxEventBytes bounds one event, so that a faulty upstream can't fill the memory.
const MaxEventBytes = 1 << 20

// Kinds of failure.
const (
	// ErrPartial means that the stream ended inside an event.
	ErrPartial = errors.ConstError("stream ended inside an event: resume it after the last whole one")
	// ErrTooLong means that an event exceeds MaxEventBytes.
	ErrTooLong = errors.ConstError("event over a megabyte: the upstream is faulty")
)

// Event is one whole event as it came.
type Event struct {
	// Bytes are the event's lines with the empty line that ends it.
	Bytes []byte
	// ID is the event's id; empty if it has none.
	ID string
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
}

// NewReader returns a reader of source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReader(source)}
}

// Next returns the next whole event; an event that is not whole is never returned. The error is io.EOF
// if the stream ended between events, ErrPartial if it ended inside one, ErrTooLong, or that of the
// source.
func (r *Reader) Next() (Event, error) {
	var event Event
	for {
		piece, err := r.source.ReadSlice('\n')
		event.Bytes = append(event.Bytes, piece...)
		if len(event.Bytes) > MaxEventBytes {
			return Event{}, ErrTooLong
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue // The line is longer than the buffer.
		case err == io.EOF && len(event.Bytes) > 0:
			return Event{}, ErrPartial
		case err != nil:
			return Event{}, err
		}
		line := lastLine(event.Bytes)
		if len(line) == 0 {
			return event, nil
		}
		if id, ok := strings.CutPrefix(string(line), "id:"); ok {
			event.ID = strings.TrimSpace(id)
		}
	}
}

// lastLine returns the last line of text that ends in a line end, without that end.
func lastLine(text []byte) []byte {
	text = text[:len(text)-1]
	text = text[bytes.LastIndexByte(text, '\n')+1:]
	return bytes.TrimSuffix(text, []byte{'\r'})
}
