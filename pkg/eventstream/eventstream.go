// Package eventstream cuts a stream of server-sent events into whole events.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/juju/errors"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// Kinds of failure.
const (
	// ErrPartial says that the stream ended inside an event.
	ErrPartial = errors.ConstError("stream ended inside an event: resume it after the last whole one")
	// ErrTooLong says that an event exceeds MaxEventBytes.
	ErrTooLong = errors.ConstError("event over a megabyte: the back end is faulty")
)

// Event is one whole event as it came.
type Event struct {
	// Bytes are the event's lines with the empty line that ends it.
	Bytes []byte
	// ID is the event's id; empty if it names none.
	ID string
}

// Reader reads events.
type Reader struct {
	source *bufio.Reader
}

// NewReader returns a reader of source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReader(source)}
}

// Next returns the next whole event. At the end of the stream it returns io.EOF if the stream
// ended between events; an event that was begun is never returned.
func (r *Reader) Next() (Event, error) {
	var event Event
	for {
		line, err := r.source.ReadSlice('\n')
		event.Bytes = append(event.Bytes, line...)
		if len(event.Bytes) > MaxEventBytes {
			return Event{}, ErrTooLong
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(event.Bytes) > 0:
			return Event{}, ErrPartial
		case err != nil:
			return Event{}, err
		}
		last := lastLine(event.Bytes)
		if len(last) == 0 {
			return event, nil
		}
		if id, ok := strings.CutPrefix(string(last), "id:"); ok {
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
