package kv

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// Budget limits the rate of calls that one process makes. `ospreymoor serve` sets it from --kv-reads and
// --kv-writes; `ospreymoor node` has none and saves calls by pausing its mirror.
type Budget struct {
	// ReadsPerSecond and WritesPerSecond are this process's share of the service's call rates. A watch
	// counts as one read; grants, renewals and revocations count as writes.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Metrics holds the counters of calls; nil means the default set.
	Metrics *metrics.Set
}

// burstSeconds is how many seconds of its call rate a process may use at once.
const burstSeconds = 5

// WithBudget returns store with each call counted and rate-limited to the budget. A call waits until the
// budget allows it. One that would wait past its deadline fails at once with ErrBudget and is not made.
func WithBudget(store Store, budget Budget) Store {
	b := newBudgeted(store, budget)
	return Store{
		Get:      b.get,
		List:     b.list,
		Snapshot: b.snapshot,
		Swap:     b.swap,
		Delete:   b.remove,
		Grant:    b.grant,
		Renew:    b.renew,
		Revoke:   b.revoke,
		Watch:    b.watch,
	}
}

type budgeted struct {
	store         Store
	reads, writes *rate.Limiter
	set           *metrics.Set
}

func newBudgeted(store Store, budget Budget) *budgeted {
	set := budget.Metrics
	if set == nil {
		set = metrics.GetDefaultSet()
	}
	limiter := func(perSecond float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
	}
	return &budgeted{
		store:  store,
		reads:  limiter(budget.ReadsPerSecond),
		writes: limiter(budget.WritesPerSecond),
		set:    set,
	}
}

// take counts a call and waits until the budget allows it.
func (b *budgeted) take(ctx context.Context, limiter *rate.Limiter, call string) error {
	b.set.GetOrCreateCounter(fmt.Sprintf("ospreymoor_kv_calls_total{call=%q}", call)).Inc()
	if err := limiter.Wait(ctx); err != nil {
		b.set.GetOrCreateCounter(fmt.Sprintf("ospreymoor_kv_over_budget_total{call=%q}", call)).Inc()
		return fmt.Errorf("%w: %w", errors.Annotatef(err, "key-value call %s", call), ErrBudget)
	}
	return nil
}

func (b *budgeted) get(ctx context.Context, key string) (Record, error) {
	if err := b.take(ctx, b.reads, "get"); err != nil {
		return Record{}, err
	}
	return b.store.Get(ctx, key)
}

func (b *budgeted) list(ctx context.Context, prefix string) ([]Record, error) {
	if err := b.take(ctx, b.reads, "list"); err != nil {
		return nil, err
	}
	return b.store.List(ctx, prefix)
}

func (b *budgeted) snapshot(ctx context.Context, prefix string) (Snapshot, error) {
	if err := b.take(ctx, b.reads, "snapshot"); err != nil {
		return Snapshot{}, err
	}
	return b.store.Snapshot(ctx, prefix)
}

func (b *budgeted) swap(ctx context.Context, swap Swap) (Record, error) {
	if err := b.take(ctx, b.writes, "swap"); err != nil {
		return Record{}, err
	}
	return b.store.Swap(ctx, swap)
}

func (b *budgeted) remove(ctx context.Context, key string, revision int64) error {
	if err := b.take(ctx, b.writes, "delete"); err != nil {
		return err
	}
	return b.store.Delete(ctx, key, revision)
}

func (b *budgeted) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := b.take(ctx, b.writes, "grant"); err != nil {
		return LeaseID{}, err
	}
	return b.store.Grant(ctx, ttl)
}

func (b *budgeted) renew(ctx context.Context, id LeaseID) error {
	if err := b.take(ctx, b.writes, "renew"); err != nil {
		return err
	}
	return b.store.Renew(ctx, id)
}

func (b *budgeted) revoke(ctx context.Context, id LeaseID) error {
	if err := b.take(ctx, b.writes, "revoke"); err != nil {
		return err
	}
	return b.store.Revoke(ctx, id)
}

func (b *budgeted) watch(ctx context.Context, watching WatchOptions) (<-chan []Event, error) {
	if err := b.take(ctx, b.reads, "watch"); err != nil {
		return nil, err
	}
	return b.store.Watch(ctx, watching)
}
