package box

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// delivery hands an answer's pieces to the caller, each once and in order. One goroutine uses it.
type delivery struct {
	send func(id string, index uint32, text string) error
	// restart discards what was handed on, if the caller has not seen it; nil if it has.
	restart func()
	// id of the run that the pieces come from, and the index of the next one.
	id   string
	next uint32
	// sendErr is set when the caller cannot be reached any more.
	sendErr error

	begun time.Time
	first time.Time
	last  time.Time
}

func newDelivery(send func(id string, index uint32, text string) error) *delivery {
	return &delivery{send: send, begun: time.Now()}
}

// take hands one piece on.
func (d *delivery) take(index uint32, text string) error {
	now := time.Now()
	if d.first.IsZero() {
		d.first = now
	}
	d.last = now
	if err := d.send(d.id, index, text); err != nil {
		d.sendErr = err
		return err
	}
	d.next = index + 1
	return nil
}

// begin starts over with another run, and reports whether that is possible: pieces of two runs are never mixed.
func (d *delivery) begin(id string) bool {
	if d.next > 0 && d.restart == nil {
		return false
	}
	if d.restart != nil {
		d.restart()
	}
	d.id, d.next, d.first = id, 0, time.Time{}
	return true
}

// firstToken is the time from the request to its first piece.
func (d *delivery) firstToken() time.Duration { return d.first.Sub(d.begun) }

// betweenTokens is the mean time between pieces.
func (d *delivery) betweenTokens() time.Duration {
	if d.next < 2 {
		return 0
	}
	return d.last.Sub(d.first) / time.Duration(d.next-1)
}

func durationOf(d bundle.Duration) time.Duration { return time.Duration(d) }
