package dispatch

// UrgencyLevels is the number of urgency levels; 0 is the most urgent. An urgency outside the range counts
// as the nearest level.
const UrgencyLevels = 3

// Load is the work that one or several boxes have in flight at one upstream.
type Load struct {
	// Running counts the requests that were sent and whose response has not ended.
	Running int `json:"r,omitempty"`
	// Prefill is the number of prompt tokens that the engine has not prefilled yet, by urgency level. Those of a
	// model with another pace than 1 count as the number that takes as long at pace 1, because an engine prefills
	// the prompts of several models.
	Prefill [UrgencyLevels]int `json:"p,omitzero"`
	// Tokens is the engine memory, in tokens, that the running requests take or will take.
	Tokens int `json:"t,omitempty"`
	// Waiting counts the requests without a first token. No decision reads it; it is part of the data that
	// boxes exchange.
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

// Subtract removes another load that is part of this one.
func (l *Load) Subtract(other Load) {
	l.Running -= other.Running
	for level, tokens := range other.Prefill {
		l.Prefill[level] -= tokens
	}
	l.Tokens -= other.Tokens
	l.Waiting -= other.Waiting
}

// finishPrefill removes the prefill of a request whose prompt has been prefilled or that ended before.
func (l *Load) finishPrefill(request Load) {
	for level, tokens := range request.Prefill {
		l.Prefill[level] -= tokens
	}
	l.Waiting--
}

// prefillAhead returns the number of prompt tokens that the engine prefills before those of a new request:
// all that are at least as urgent.
func (l *Load) prefillAhead(urgency int) int {
	tokens := 0
	for level := range urgencyLevel(urgency) + 1 {
		tokens += l.Prefill[level]
	}
	return tokens
}

func urgencyLevel(urgency int) int { return max(0, min(urgency, UrgencyLevels-1)) }
