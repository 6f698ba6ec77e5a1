package dispatch

// UrgencyLevels is the number of levels of urgency; 0 is the most urgent. Requests of a number
// beyond them count as the nearest level.
const UrgencyLevels = 3

// Load is what one or several boxes have under way at one upstream.
type Load struct {
	// Running requests, from the sending to the end of the answer.
	Running int `json:"r,omitempty"`
	// Prefill is the prompt tokens that the engine has still to read, by urgency.
	Prefill [UrgencyLevels]int `json:"p,omitzero"`
	// Tokens of engine memory that the running requests take or will take.
	Tokens int `json:"t,omitempty"`
	// Waiting requests have no first token yet. No rule reads it; it is part of the exchange
	// between boxes.
	Waiting int `json:"w,omitempty"`
}

// Add adds another load at the same upstream.
func (l *Load) Add(other Load) {
	l.Running += other.Running
	for level, tokens := range other.Prefill {
		l.Prefill[level] += tokens
	}
	l.Tokens += other.Tokens
	l.Waiting += other.Waiting
}

// Subtract takes off another load that is part of this one.
func (l *Load) Subtract(other Load) {
	l.Running -= other.Running
	for level, tokens := range other.Prefill {
		l.Prefill[level] -= tokens
	}
	l.Tokens -= other.Tokens
	l.Waiting -= other.Waiting
}

// finishPrefill takes off a request whose prompt the engine has read, or that ended before.
func (l *Load) finishPrefill(request Load) {
	for level, tokens := range request.Prefill {
		l.Prefill[level] -= tokens
	}
	l.Waiting--
}

// prefillAhead is the prompt tokens that the engine reads before those of a new request: all that
// are at least as urgent.
func (l *Load) prefillAhead(urgency int) int {
	tokens := 0
	for level := range urgencyLevel(urgency) + 1 {
		tokens += l.Prefill[level]
	}
	return tokens
}

func urgencyLevel(urgency int) int { return max(0, min(urgency, UrgencyLevels-1)) }
