// Package kvtest wraps a key-value store so that tests can inject faults: calls that are delayed,
// refused, lost or executed late. Only tests use it.
package kvtest

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// Fault describes the fault injected into one call; the zero value injects none.
type Fault struct {
	// Delay is the time before the call is processed.
	Delay time.Duration
	// Refused: the call is not executed, and its error says so.
	Refused bool
	// Lost: the call is not executed; a change fails with ErrUnknown.
	Lost bool
	// AnswerLost: the call is executed; a change fails with ErrUnknown.
	AnswerLost bool
	// Late: a change fails with ErrUnknown and is executed after this time; 0 means not late.
	Late time.Duration
}

// Faulty returns store with the faults that choose returns injected into its reads, swaps and renewals.
// choose gets "get", "list", "swap" or "renew".
func Faulty(store kv.Store, choose func(call string) Fault) kv.Store {
	faulty := store
	faulty.Get = func(ctx context.Context, key string) (kv.Record, error) {
		if err := readFault(ctx, choose("get")); err != nil {
			return kv.Record{}, err
		}
		return store.Get(ctx, key)
	}
	faulty.List = func(ctx context.Context, prefix string) ([]kv.Record, error) {
		if err := readFault(ctx, choose("list")); err != nil {
			return nil, err
		}
		return store.List(ctx, prefix)
	}
	faulty.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
		call := func(ctx context.Context) { _, _ = store.Swap(ctx, swap) }
		if err := changeFault(ctx, choose("swap"), call); err != nil {
			return kv.Record{}, errors.Annotate(err, "swap")
		}
		return store.Swap(ctx, swap)
	}
	faulty.Renew = func(ctx context.Context, id kv.LeaseID) error {
		call := func(ctx context.Context) { _ = store.Renew(ctx, id) }
		if err := changeFault(ctx, choose("renew"), call); err != nil {
			return errors.Annotate(err, "renew")
		}
		return store.Renew(ctx, id)
	}
	return faulty
}

// readFault returns the error of a read with this fault, or nil if the caller is to make the read. A read
// changes nothing, so each fault but a delay fails it with ErrUnavailable.
func readFault(ctx context.Context, fault Fault) error {
	if !wait(ctx, fault.Delay) || fault.Refused || fault.Lost || fault.AnswerLost || fault.Late > 0 {
		return errors.Annotate(kv.ErrUnavailable, "read failed")
	}
	return nil
}

// changeFault returns the error of a change with this fault, or nil if the caller is to make the call. It
// makes the call itself if only the answer is lost or the call is executed late.
func changeFault(ctx context.Context, fault Fault, call func(context.Context)) error {
	if !wait(ctx, fault.Delay) || fault.Lost {
		return errors.Annotate(kv.ErrUnknown, "call lost")
	}
	switch {
	case fault.Refused:
		return errors.Annotate(kv.ErrUnavailable, "call refused")
	case fault.AnswerLost:
		call(ctx)
		return errors.Annotate(kv.ErrUnknown, "answer lost")
	case fault.Late > 0:
		time.AfterFunc(fault.Late, func() { call(context.WithoutCancel(ctx)) })
		return errors.Annotate(kv.ErrUnknown, "call late")
	}
	return nil
}

func wait(ctx context.Context, delay time.Duration) bool {
	return pause.For(ctx, delay) == nil
}
