package fleet

import "time"

// Rests is how boxes keep the rests that upstreams ask them for.
type Rests struct {
	// Longest is the longest rest that is kept; what asks for more is asked again then, by one request.
	Longest time.Duration
	// Window is how many requests of this box may await an answer at first when the rest is over; it doubles with each answer. 0 is any
	// number.
	Window int
	// ReturnSpread is by how much later than its end callers come back at most that were refused because of it, by chance.
	ReturnSpread time.Duration
}

// DefaultRests is the rule in use: engines that all asked for rest at once are not sent all that waited in the same moment. What asks for
// more than Longest is asked again by one request.
var DefaultRests = Rests{Longest: 10 * time.Minute, Window: 1, ReturnSpread: 500 * time.Millisecond}

// wideWindow is the window from which on nothing is held back any more: above the slots of engines.
const wideWindow = 64

// rest is one rest of an upstream and the return from it.
type rest struct {
	// until is its end; zero if there is none.
	until time.Time
	// window is how many sendings may await an answer then; 0 is any number. awaiting is how many do.
	window, awaiting int
}

// begin returns a rest that begins now.
func (r Rests) begin(now time.Time, asked time.Duration) rest {
	return rest{until: now.Add(min(asked, r.Longest)), window: r.Window}
}

// over reports whether nothing is held back any more.
func (r *rest) over(now time.Time) bool { return !now.Before(r.until) && r.window == 0 }

// holdsBack reports whether a sending must wait.
func (r *rest) holdsBack(now time.Time) bool {
	return now.Before(r.until) || r.window > 0 && r.awaiting >= r.window
}

// beginAfterRest counts a sending to an upstream that comes back from a rest, and returns the end of that; zero if it is not counted.
// It is false if the sending must wait.
func (d *Directory) beginAfterRest(id string) (after time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, isKnown := d.told[id]
	switch {
	case !isKnown:
		return time.Time{}, true
	case known.rest.holdsBack(time.Now()):
		return time.Time{}, false
	case known.rest.window == 0:
		return time.Time{}, true
	}
	known.rest.awaiting++
	d.told[id] = known
	return known.rest.until, true
}

// endAfterRest counts the end of a sending that was counted after a rest; one that was answered without a new rest opens the window.
func (d *Directory) endAfterRest(id string, after time.Time, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.told[id]
	if !ok || !known.rest.until.Equal(after) || known.rest.window == 0 {
		return
	}
	known.rest.awaiting--
	if answered {
		known.rest.window *= 2
	}
	if known.rest.window >= wideWindow {
		known.rest.window, known.rest.awaiting = 0, 0
	}
	d.told[id] = known
}

// Resting reports whether this box must keep requests away from an upstream that asked for rest, and until when; a time that has passed
// means that it comes back with few requests at a time.
func (d *Directory) Resting(id string) (until time.Time, resting bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	known, ok := d.told[id]
	if !ok {
		return time.Time{}, false
	}
	return known.rest.until, known.rest.holdsBack(time.Now())
}
