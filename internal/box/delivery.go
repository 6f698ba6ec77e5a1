package box

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// delivery sends the pieces of an answer to the caller, each once and in order. It is used by one goroutine only.
type delivery struct {
	send func(id string, index uint32, text string) error
	// restart discards the pieces sent so far. It is nil if the caller has already seen them.
	restart func()
	// id is the run that the pieces come from. nextIndex is the index of the next piece.
	id        string
	nextIndex uint32
	// sendErr is set once the caller cannot be reached any more.
	sendErr error

	startedAt    time.Time
	firstPieceAt time.Time
	lastPieceAt  time.Time
}

func newDelivery(send func(id string, index uint32, text string) error) *delivery {
	return &delivery{send: send, startedAt: time.Now()}
}

// deliver sends one piece to the caller.
func (d *delivery) deliver(index uint32, text string) error {
	now := time.Now()
	if d.firstPieceAt.IsZero() {
		d.firstPieceAt = now
	}
	d.lastPieceAt = now
	if err := d.send(d.id, index, text); err != nil {
		d.sendErr = err
		return err
	}
	d.nextIndex = index + 1
	return nil
}

// startRun restarts the answer with another run. It reports false if the caller has seen pieces of an earlier run,
// since pieces of two runs are never mixed.
func (d *delivery) startRun(id string) bool {
	if d.nextIndex > 0 && d.restart == nil {
		return false
	}
	if d.restart != nil {
		d.restart()
	}
	d.id, d.nextIndex, d.firstPieceAt = id, 0, time.Time{}
	return true
}

// timeToFirstPiece returns the time from the request to the first piece of its answer.
func (d *delivery) timeToFirstPiece() time.Duration { return d.firstPieceAt.Sub(d.startedAt) }

// meanPieceInterval returns the mean time between two pieces, or 0 if there are fewer than two.
func (d *delivery) meanPieceInterval() time.Duration {
	if d.nextIndex < 2 {
		return 0
	}
	return d.lastPieceAt.Sub(d.firstPieceAt) / time.Duration(d.nextIndex-1)
}

func durationOf(d bundle.Duration) time.Duration { return time.Duration(d) }
