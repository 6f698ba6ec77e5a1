// Package eventstream splits a stream of server-sent events into whole events.
//
// It keeps no state beyond one reader and relies only on the source that it reads. internal/gateway uses
// it, so that a stream that breaks can resume after the last whole event. `ospreymoor serve` does not need
// it: its engines answer with typed messages.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/juju/errors"
)

// MaxEventBytes bounds one event, in bytes, so that a faulty upstream can't exhaust the memory: 1 MiB.
const MaxEventBytes = 1 << 20

// Errors that Reader.Next returns.
const (
	// ErrPartial means that the stream ended inside an event.
	ErrPartial = errors.ConstError("stream ended inside an event: resume it after the last whole one")
	// ErrTooLong means that an event exceeds MaxEventBytes.
	ErrTooLong = errors.ConstError("event over a megabyte: the upstream is faulty")
)

// Event is one whole event.
type Event struct {
	// Bytes are the event's lines as received, with the empty line that ends it.
	Bytes []byte
	// ID is the value of the event's id field; empty if it has none.
	ID string
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
}

// NewReader returns a reader of the events in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReader(source)}
}

// Next returns the next whole event; it never returns a part of one. The error is io.EOF if the stream
// ended between events, ErrPartial if it ended inside one, ErrTooLong if an event exceeds MaxEventBytes,
// or that of the source.
func (r *Reader) Next() (Event, error) {
	var event Event
	for {
		chunk, err := r.source.ReadSlice('\n')
		event.Bytes = append(event.Bytes, chunk...)
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

// lastLine returns the last line of text, without its line break. text must end in a line break.
func lastLine(text []byte) []byte {
	text = text[:len(text)-1]
	text = text[bytes.LastIndexByte(text, '\n')+1:]
	return bytes.TrimSuffix(text, []byte{'\r'})
}
