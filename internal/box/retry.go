package box

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/routing"
)

const (
	// retryBudgetRatio is the share of requests that may be sent to another upstream. overload_test.go checks it.
	retryBudgetRatio = 0.1
	// maxAttempts bounds how many upstreams one repeatable request is sent to.
	maxAttempts = 3
	// avoidDuration is how long an upstream that failed gets nothing as long as others can take requests.
	avoidDuration = 5 * time.Second
)

// mayTryAnother reports whether a repeatable request may be sent to another upstream after a failed attempt. There
// are up to maxAttempts, and each retry takes from the box's retry budget. costless is set if the upstream
// confirmed that it did no work for the request: another attempt then adds no load and takes nothing from the
// budget.
func mayTryAnother(attempt int, costless bool, budget *routing.RetryBudget) bool {
	return attempt < maxAttempts && (costless || budget.TryRetry())
}
