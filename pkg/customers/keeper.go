package customers

import (
	"math/rand/v2"
	"sync"
	"time"
)

// accountTTL is how long an account is kept without a SpendRequest. By then it has long refilled, and a new account
// costs the customer no more than the rest of its burst.
const accountTTL = 10 * time.Minute

// Keeper keeps the accounts of the customers that this box is asked for. It is safe for concurrent use.
type Keeper struct {
	// Tolerance applies to all limits.
	Tolerance Tolerance
	// Random returns a number from 0 to 1.
	Random func() float64

	mu       sync.Mutex
	accounts map[accountKey]*account
	// prunedAt is when unused accounts were last dropped.
	prunedAt time.Time
}

type accountKey struct {
	customer string
	scope    Scope
}

// NewKeeper returns a keeper without accounts.
func NewKeeper(tolerance Tolerance) *Keeper {
	return &Keeper{Tolerance: tolerance, Random: rand.Float64, accounts: map[accountKey]*account{}}
}

// Spend executes a SpendRequest. share is the fraction of the limit that the account holds now: the boxes that it
// serves, of all boxes. During a network partition the shares of the accounts on both sides add up to 1, so that both
// together keep within the limit.
func (k *Keeper) Spend(ask SpendRequest, share float64, now time.Time) Grant {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.account(ask, share, now)
	a.setLimit(ask.Limit, ask.Version)
	a.refill(share, k.Tolerance, now)
	a.settle(ask.Settled, share)
	if !ask.Classes.Valid(len(ask.Costs)) {
		ask.Classes = nil
	}
	classes := a.noteDemand(ask, share, k.Tolerance)
	overdraft := 0.0
	if share < 1 {
		overdraft = overdraftShare * share * k.Tolerance.units(a.limit)
	}
	waits := a.take(ask, classes, overdraft, share, k)
	return Grant{Waits: waits, Level: a.level, Share: share, Thresholds: a.thresholds(ask.Classes)}
}

// account returns the account of a SpendRequest, which it creates if there is none. The caller holds the lock.
func (k *Keeper) account(ask SpendRequest, share float64, now time.Time) *account {
	k.prune(now)
	key := accountKey{customer: ask.Customer, scope: ask.Scope}
	a := k.accounts[key]
	if a == nil {
		a = &account{limit: ask.Limit, version: ask.Version, at: now, reserve: k.Random(), demands: demands{at: now}}
		a.level = a.initialLevel(share, k.Tolerance)
		k.accounts[key] = a
	}
	return a
}

// prune drops accounts without a recent SpendRequest. The caller holds the lock.
func (k *Keeper) prune(now time.Time) {
	if now.Sub(k.prunedAt) < accountTTL {
		return
	}
	k.prunedAt = now
	for key, a := range k.accounts {
		if now.Sub(a.at) > accountTTL {
			delete(k.accounts, key)
		}
	}
}
