package dispatch

// UrgencyLevels is how many ranks of urgency are told apart; 0 is the most urgent.
const UrgencyLevels = 3

// ahead is the prompt tokens that are read before those of a new request.
func (l *Load) ahead(urgency int) int {
	tokens := 0
	for rank := range min(urgency, UrgencyLevels-1) + 1 {
		tokens += l.Prefill[rank]
	}
	return tokens
}

// Load is what one process has under way at one back end.
type Load struct {
	// Running requests, from the sending to the end of the answer.
	Running int `json:"r,omitempty"`
	// Prefill is the prompt tokens that the back end has still to read, by their urgency.
	Prefill [UrgencyLevels]int `json:"p,omitzero"`
	// Tokens of memory that the running requests take or will take.
	Tokens int `json:"t,omitempty"`
	// Waiting requests have no first token yet.
	Waiting int `json:"w,omitempty"`
}

// Add adds another process's load at the same back end.
func (l *Load) Add(other Load) {
	l.Running += other.Running
	for urgency, tokens := range other.Prefill {
		l.Prefill[urgency] += tokens
	}
	l.Tokens += other.Tokens
	l.Waiting += other.Waiting
}

// read takes a request's prompt off what is still to be read.
func (l *Load) read(request Load) {
	for urgency, tokens := range request.Prefill {
		l.Prefill[urgency] -= tokens
	}
	l.Waiting--
}
