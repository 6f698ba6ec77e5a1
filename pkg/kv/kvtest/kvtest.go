// Package kvtest wraps a key-value store so that tests can delay, refuse and lose its calls. Only
// tests use it.
package kvtest

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// Fate is what happens to one call of a faulty store.
type Fate struct {
	// Delay before the call is looked at.
	Delay time.Duration
	// Refused: the call is not done, and the caller learns so.
	Refused bool
	// Lost: the call is not done, and the caller learns nothing.
	Lost bool
	// AnswerLost: the call is done, and the caller learns nothing.
	AnswerLost bool
	// Late: the call is done that long after the caller learned nothing; 0 is not late.
	Late time.Duration
}

// Faulty returns store with the fates that choose picks for its reads, swaps and renewals. choose
// gets "get", "list", "swap" or "renew".
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
		call := func(ctx context.Context) { _, _ = store.Swap(ctx, swap) }
		if err := changeFate(ctx, choose("swap"), call); err != nil {
			return kv.Record{}, errors.Annotate(err, "swap")
		}
		return store.Swap(ctx, swap)
	}
	faulty.Renew = func(ctx context.Context, id kv.LeaseID) error {
		call := func(ctx context.Context) { _ = store.Renew(ctx, id) }
		if err := changeFate(ctx, choose("renew"), call); err != nil {
			return errors.Annotate(err, "renew")
		}
		return store.Renew(ctx, id)
	}
	return faulty
}

// readFate returns the error of a read that has such a fate; nil if the read is done.
func readFate(ctx context.Context, fate Fate) error {
	if !wait(ctx, fate.Delay) || fate.Refused || fate.Lost || fate.AnswerLost || fate.Late > 0 {
		return errors.Annotate(kv.ErrUnavailable, "read failed")
	}
	return nil
}

// changeFate returns the error of a change that has such a fate, and makes the call where only its
// answer is lost or late; nil if the caller makes it.
func changeFate(ctx context.Context, fate Fate, call func(context.Context)) error {
	if !wait(ctx, fate.Delay) || fate.Lost {
		return errors.Annotate(kv.ErrUnknown, "call lost")
	}
	switch {
	case fate.Refused:
		return errors.Annotate(kv.ErrUnavailable, "call refused")
	case fate.AnswerLost:
		call(ctx)
		return errors.Annotate(kv.ErrUnknown, "answer lost")
	case fate.Late > 0:
		time.AfterFunc(fate.Late, func() { call(context.WithoutCancel(ctx)) })
		return errors.Annotate(kv.ErrUnknown, "call late")
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
