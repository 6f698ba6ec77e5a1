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
	// ErrTooLong means that an event exceeds MaxEventBytes, or what Reader.Reserve allows.
	ErrTooLong = errors.ConstError("event over a megabyte or over the memory that is left: the upstream may be faulty")
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
	// Reserve is called with the bytes that an event takes beyond unreservedBytes, before more of it is read, and returns
	// false if there is no room for them. Release is called with what Reserve allowed. Both may be nil.
	Reserve func(bytes int64) bool
	Release func(bytes int64)

	source   *bufio.Reader
	reserved int64
}

// unreservedBytes is the size of an event, in bytes, up to which it is not reserved.
const unreservedBytes = 16 << 10

// NewReader returns a reader of the events in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReader(source)}
}

// Next returns the next whole event; it never returns a part of one. The error is io.EOF if the stream
// ended between events, ErrPartial if it ended inside one, ErrTooLong if an event exceeds MaxEventBytes,
// or that of the source.
func (r *Reader) Next() (Event, error) {
	r.release()
	var event Event
	for {
		chunk, err := r.source.ReadSlice('\n')
		event.Bytes = append(event.Bytes, chunk...)
		if len(event.Bytes) > MaxEventBytes || !r.reserve(int64(len(event.Bytes))) {
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

// reserve reserves what an event of this size takes beyond unreservedBytes.
func (r *Reader) reserve(size int64) bool {
	more := size - unreservedBytes - r.reserved
	if r.Reserve == nil || more <= 0 {
		return true
	}
	if !r.Reserve(more) {
		return false
	}
	r.reserved += more
	return true
}

// Close releases what is reserved for the latest event.
func (r *Reader) Close() { r.release() }

func (r *Reader) release() {
	if r.reserved > 0 {
		r.Release(r.reserved)
		r.reserved = 0
	}
}

// lastLine returns the last line of text, without its line break. text must end in a line break.
func lastLine(text []byte) []byte {
	text = text[:len(text)-1]
	text = text[bytes.LastIndexByte(text, '\n')+1:]
	return bytes.TrimSuffix(text, []byte{'\r'})
}
