package gateway

import "sync"

// budgetShare is the part of the configured ratio and slack that is used. It leaves a margin because the boxes
// keep to their shares without coordinating.
const budgetShare = 0.8

// RetryLimits limits the retries for one service over all boxes.
type RetryLimits struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Slack is the number of retries that are allowed in one window in addition to the ratio.
	Slack float64
}

// retryBudget limits this box's retries for each service. It keeps a token bucket per service that every request
// fills and every retry drains. It is safe for concurrent use.
//
// It differs from routing.RetryBudget of `ospreymoor serve`. Here the limits hold for the whole fleet and for each
// service, so the box takes its share of them, and a bucket is filled by requests alone. There, the limit holds
// for one box over all services, and a few retries per second are always allowed.
type retryBudget struct {
	limits RetryLimits
	// boxes returns the largest number of boxes that were ever known to share the budget. A box that cannot be
	// reached still spends its share.
	boxes func() int

	mu sync.Mutex
	// tokens holds the retries left, by service. A service without requests has no bucket.
	tokens map[string]float64
}

func newRetryBudget(limits RetryLimits, boxes func() int) *retryBudget {
	return &retryBudget{limits: limits, boxes: boxes, tokens: map[string]float64{}}
}

// burst returns the capacity of a bucket: the box's share of the slack, but at least one, since a smaller bucket
// would never allow a retry.
func (b *retryBudget) burst() float64 {
	return max(1, budgetShare*b.limits.Slack/float64(max(1, b.boxes())))
}

// addRequest adds the fraction of a retry that one request allows. The bucket of a service is full at its first
// request.
func (b *retryBudget) addRequest(service string) {
	burst := b.burst()
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = burst
	}
	b.tokens[service] = min(burst, tokens+budgetShare*b.limits.Ratio)
}

// takeRetry takes one retry from the service's bucket and reports whether one was left.
func (b *retryBudget) takeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
