package box

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/routing"
)

const (
	// retryShare is the share of requests that may be sent to a second upstream. Held by overload_test.go.
	retryShare = 0.1
	// maxAttempts bounds the upstreams that one repeatable request is sent to.
	maxAttempts = 3
	// avoidTime is how long an upstream that failed gets nothing if others can take requests.
	avoidTime = 5 * time.Second
)

// mayTryAnother is the rule for sending a repeatable request to another upstream after a failed attempt: up to
// maxAttempts, and from the box's retry budget. costless is set if the upstream confirmed that it did no work for
// the request: then another attempt adds no load, and takes nothing from the budget.
func mayTryAnother(attempt int, costless bool, budget *routing.RetryBudget) bool {
	return attempt < maxAttempts && (costless || budget.Retry())
}
