package gateway

import "sync"

// budgetShare is the part of the allowed ratio and slack that is used: the boxes keep to their shares
// without asking each other.
const budgetShare = 0.8

// RetryLimits bound the retries at a service over all boxes.
type RetryLimits struct {
	// Ratio of retries to requests.
	Ratio float64
	// Slack is the number of retries that are allowed beside the ratio in one window.
	Slack float64
}

// retryBudget bounds this box's retries at each service: a token bucket for each, which every request
// fills and every retry drains. It is safe for concurrent use.
//
// It differs from routing.RetryBudget of `ospreymoor serve`: the limits hold for the whole fleet and
// for each service, so the box takes its share of them, and nothing fills a bucket while there are no
// requests. There, the limit holds for one box over all services, and a few retries a second are always
// allowed.
type retryBudget struct {
	limits RetryLimits
	// boxes is the largest number of boxes that was ever known to share the budget: one that is not
	// reached still spends its share.
	boxes func() int

	mu sync.Mutex
	// tokens are the retries left, by service. A service without requests has none.
	tokens map[string]float64
}

func newRetryBudget(limits RetryLimits, boxes func() int) *retryBudget {
	return &retryBudget{limits: limits, boxes: boxes, tokens: map[string]float64{}}
}

// burst is the most retries that can be saved up: the box's share of the slack, and at least one,
// since less would never allow any.
func (b *retryBudget) burst() float64 {
	return max(1, budgetShare*b.limits.Slack/float64(max(1, b.boxes())))
}

// noteRequest adds the share of a retry that a request allows. The bucket of a service is full at
// its first request.
func (b *retryBudget) noteRequest(service string) {
	burst := b.burst()
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = burst
	}
	b.tokens[service] = min(burst, tokens+budgetShare*b.limits.Ratio)
}

// takeRetry takes one retry, and reports whether there was one left.
func (b *retryBudget) takeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
