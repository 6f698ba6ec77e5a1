// Package kvtest wraps a key-value store so that tests can delay, refuse and lose its calls.
package kvtest

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// Fate is what befalls one call of a faulty store.
type Fate struct {
	// Delay before the call is looked at.
	Delay time.Duration
	// Refused: the call is not done, and the caller is told so.
	Refused bool
	// Lost: the call is not done, and the caller learns nothing.
	Lost bool
	// AnswerLost: the call is done, and the caller learns nothing.
	AnswerLost bool
	// Late: the call is done that long after the caller was told nothing; 0 is not late.
	Late time.Duration
}

// Faulty returns store with the fates that choose picks for its swaps and reads, for tests of
// what is built on a Store. choose gets "get", "list" or "swap".
func Faulty(store kv.Store, choose func(call string) Fate) kv.Store {
	faulty := store
	faulty.Get = func(ctx context.Context, key string) (kv.Record, error) {
		if err := readFate(ctx, choose("get")); err != nil {
			return kv.Record{}, err
		}
		return store.Get(ctx, key)
	}
	faulty.List = func(ctx context.Context, prefix string) ([]kv.Record, error) {
		if err := readFate(ctx, choose("list")); err != nil {
			return nil, err
		}
		return store.List(ctx, prefix)
	}
	faulty.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
		fate := choose("swap")
		if !wait(ctx, fate.Delay) || fate.Lost {
			return kv.Record{}, errors.Annotate(kv.ErrUnknown, "swap lost")
		}
		switch {
		case fate.Refused:
			return kv.Record{}, errors.Annotate(kv.ErrUnavailable, "swap refused")
		case fate.AnswerLost:
			_, _ = store.Swap(ctx, swap)
			return kv.Record{}, errors.Annotate(kv.ErrUnknown, "answer lost")
		case fate.Late > 0:
			time.AfterFunc(fate.Late, func() { _, _ = store.Swap(context.WithoutCancel(ctx), swap) })
			return kv.Record{}, errors.Annotate(kv.ErrUnknown, "swap late")
		}
		return store.Swap(ctx, swap)
	}
	return faulty
}

func readFate(ctx context.Context, fate Fate) error {
	if !wait(ctx, fate.Delay) || fate.Refused || fate.Lost || fate.AnswerLost || fate.Late > 0 {
		return errors.Annotate(kv.ErrUnavailable, "read failed")
	}
	return nil
}

func wait(ctx context.Context, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}
