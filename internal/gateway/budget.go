package gateway

import "sync"

const (
	// budgetShare is the part of the allowed ratio and slack that is used, since all machines
	// keep to their shares without asking each other.
	budgetShare = 0.8
)

// RetryLimits bound the repeats at a service over all machines.
type RetryLimits struct {
	// Ratio of repeats to requests.
	Ratio float64
	// Slack is the repeats that are allowed beside in one window.
	Slack float64
}

// repeatBudget bounds this machine's repeats at each service.
type repeatBudget struct {
	limits RetryLimits
	// machines is the largest number of machines that was ever known to share the budget.
	machines func() int

	mu     sync.Mutex
	tokens map[string]float64
}

func newRepeatBudget(limits RetryLimits, machines func() int) *repeatBudget {
	return &repeatBudget{limits: limits, machines: machines, tokens: map[string]float64{}}
}

// burst is the most that can be saved up.
func (b *repeatBudget) burst() float64 {
	return max(1, budgetShare*b.limits.Slack/float64(max(1, b.machines())))
}

// request notes a first sending.
func (b *repeatBudget) request(service string) {
	burst := b.burst()
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = burst
	}
	b.tokens[service] = min(burst, tokens+budgetShare*b.limits.Ratio)
}

// repeat takes one repeat, if there is one left.
func (b *repeatBudget) repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
