package places

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// replayUpstream is a plain upstream with slots, a queue, and spans in which it is slow.
type replayUpstream struct {
	hall    int
	mu      sync.Mutex
	waiting int
	slots   chan struct{}
	random  *rand.Rand
	slow    bool
	slowEnd time.Time
	// factor is the factor on its work for the whole replay.
	factor float64
	lostAt time.Time
}

// outcome is what an upstream answers.
type outcome int

const (
	answered outcome = iota
	turnedAway
	unreachable
	timedOut
)

func (u *replayUpstream) work(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !now.Before(u.slowEnd) {
		u.slow, u.slowEnd = u.random.Float64() < slowShare, now.Add(slowSpan)
	}
	span := float64(replayWork) * u.factor
	if u.slow {
		span *= slowFactor
	}
	return time.Duration(span)
}

func (u *replayUpstream) lost() bool { return !u.lostAt.IsZero() && !time.Now().Before(u.lostAt) }

// run runs a request until it ends or ctx does.
func (u *replayUpstream) run(ctx context.Context) outcome {
	if u.lost() {
		return unreachable
	}
	u.mu.Lock()
	if u.waiting >= replayQueue+replaySlots {
		u.mu.Unlock()
		return turnedAway
	}
	u.waiting++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.waiting--
	}()
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		return timedOut
	}
	defer func() { <-u.slots }()
	select {
	case <-time.After(u.work(time.Now())):
		return answered
	case <-ctx.Done():
		return timedOut
	}
}
