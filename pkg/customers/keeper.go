package customers

import (
	"math/rand/v2"
	"sync"
	"time"
)

// accountTTL is how long an account is kept that nobody asks: by then it has long filled, and a new one loses the customer
// no more than the rest of its burst.
const accountTTL = 10 * time.Minute

// Keeper keeps the accounts of customers that this box is asked for. It is safe for concurrent use.
type Keeper struct {
	// Tolerance is that of all limits.
	Tolerance Tolerance
	// Random returns a number from 0 to 1.
	Random func() float64

	mu       sync.Mutex
	accounts map[accountKey]*account
	// pruned is when accounts that nobody asks were last dropped.
	pruned time.Time
}

type accountKey struct {
	customer string
	scope    Scope
}

// NewKeeper returns a keeper without accounts.
func NewKeeper(tolerance Tolerance) *Keeper {
	return &Keeper{Tolerance: tolerance, Random: rand.Float64, accounts: map[accountKey]*account{}}
}

// Spend answers an ask. share is the part of the limit that the account holds now: the boxes that it is for, of all that
// there are. The parts of the accounts on both sides of a cut add up to 1, so that both together keep to the limit.
func (k *Keeper) Spend(ask Ask, share float64, now time.Time) Grant {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.account(ask, share, now)
	a.setLimit(ask.Limit, ask.Version)
	a.fill(share, k.Tolerance, now)
	a.settle(ask.Settled, share)
	overdraft := 0.0
	if share < 1 {
		overdraft = overdraftShare * share * k.Tolerance.units(a.limit)
	}
	waits := a.take(ask.Costs, overdraft, share, k)
	return Grant{Waits: waits, Level: a.level, Share: share}
}

// account returns the account that an ask is for, a new one if there is none. The caller holds the lock.
func (k *Keeper) account(ask Ask, share float64, now time.Time) *account {
	k.prune(now)
	key := accountKey{customer: ask.Customer, scope: ask.Scope}
	a := k.accounts[key]
	if a == nil {
		a = &account{limit: ask.Limit, version: ask.Version, at: now, reserve: k.Random()}
		a.level = a.opening(share, k.Tolerance)
		k.accounts[key] = a
	}
	return a
}

// prune drops accounts that nobody asks. The caller holds the lock.
func (k *Keeper) prune(now time.Time) {
	if now.Sub(k.pruned) < accountTTL {
		return
	}
	k.pruned = now
	for key, a := range k.accounts {
		if now.Sub(a.at) > accountTTL {
			delete(k.accounts, key)
		}
	}
}
