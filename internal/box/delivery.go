package box

import (
	"fmt"
	"time"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/burn"
)

// delivery hands an answer's pieces to the caller, each once and in order.
type delivery struct {
	send func(id string, index uint32, text string) error
	// restart throws away what was handed on, if the caller has not seen it; nil if it has.
	restart func()
	// id of the run that the pieces come from, and the index of the next one.
	id   string
	next uint32
	// sendErr is set when the caller can't be reached any more.
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

// begin starts over with another run; it tells whether that is possible.
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

// served counts a whole answer against the model's targets.
func (b *Box) served(j *job, d *delivery) {
	result := burn.WithinTarget
	if d.firstToken() > durationOf(j.model.FirstToken) || d.betweenTokens() > durationOf(j.model.BetweenTokens) {
		result = burn.Late
	}
	customer := j.caller.bundle.Customer
	b.burn.Record(customer, j.model.Name, j.model.Objective, result, "")
	labels := fmt.Sprintf("{customer=%q,model=%q}", customer, j.model.Name)
	b.set.GetOrCreateHistogram("ospreymoor_first_token_seconds" + labels).Update(d.firstToken().Seconds())
	b.set.GetOrCreateHistogram("ospreymoor_between_tokens_seconds" + labels).Update(d.betweenTokens().Seconds())
	b.set.GetOrCreateCounter("ospreymoor_served_total" + labels).Inc()
	b.set.GetOrCreateCounter("ospreymoor_pieces_total" + labels).Add(int(d.next))
}

func (b *Box) countRefused(customer string, r *refusal) {
	outcome := "not run"
	if r.outcome == ospreymoorv1.Outcome_OUTCOME_UNKNOWN {
		outcome = "unknown"
	}
	name := fmt.Sprintf("ospreymoor_refused_total{customer=%q,outcome=%q,reason=%q}", customer, outcome, r.reason)
	b.set.GetOrCreateCounter(name).Inc()
}

func durationOf(d bundle.Duration) time.Duration { return time.Duration(d) }
