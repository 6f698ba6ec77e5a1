package dispatch

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// ColdTolerance is by how much the requests that a cold engine gets in any second, over all boxes, may exceed what it bears.
type ColdTolerance struct {
	// Overage is the factor on the rate that it bears; 0 counts as 1. Slack is in requests.
	Overage, Slack float64
}

// RateAsk asks for one request to an upstream whose requests over all boxes are bounded.
type RateAsk struct {
	Engine string `json:"engine"`
	// ColdPerSecond is the rate that cold engines of its service bear; 0 if it is not cold.
	ColdPerSecond float64 `json:"perSecond"`
	// Limit is the limit that the upstream names, as far as the asking box knows; nil if it knows of none.
	Limit *fleet.LimitReport `json:"limit,omitempty"`
	// Hall asks for a request out of the part of the asking box's hall, in place of that of all boxes.
	Hall bool `json:"hall,omitempty"`
}

// RateGrant answers a RateAsk.
type RateGrant struct {
	// Granted means that one request may be sent within RateGrantLife.
	Granted bool `json:"granted"`
	// Wait is after how long to ask again; 0 if it was granted.
	Wait time.Duration `json:"wait,omitempty"`
	// Limit is what the keeper knows of the upstream's limit; nil if it knows nothing.
	Limit *fleet.LimitReport `json:"limit,omitempty"`
}

const (
	// RateGrantLife is how long a grant holds until the request is sent.
	RateGrantLife = 100 * time.Millisecond
	// requestTravel is how long a request may be on its way to an engine, a new connection included.
	requestTravel = 400 * time.Millisecond
	// coldBurst is how many requests to a cold engine may be granted at once.
	coldBurst = 1
	// limitBurst is how long an upstream with a limit may have got nothing so that what it did not get is granted at once, leastLimitBurst
	// requests at least: boxes that were denied come back later than requests may be granted.
	limitBurst      = 500 * time.Millisecond
	leastLimitBurst = 2
	// slowestLimit is the least rate that is granted, in requests a second: only an answer tells that a limit has ended.
	slowestLimit = 0.1
	// maxRateWait bounds the pause between two asks of one box.
	maxRateWait = time.Second
)

// RateAccounts grants requests to the upstreams that this box keeps for all boxes. One box keeps the account of an upstream, so that the
// bound holds over boxes that share nothing; each box with a fixed part would send next to nothing, since a part of a few requests a
// second among 91 boxes is one in many seconds. It is safe for concurrent use.
type RateAccounts struct {
	tolerance ColdTolerance

	mu       sync.Mutex
	accounts map[rateKey]rateAccount
}

// rateKey names an account.
type rateKey struct {
	engine string
	hall   bool
}

// rateAccount is what an upstream may get.
type rateAccount struct {
	// level is how many requests may be granted, as of a time.
	level float64
	// denied are the asks of the last second that were not granted.
	denied float64
	at     time.Time
}

// NewRateAccounts returns accounts that are empty: a former keeper's last grants may still be on their way.
func NewRateAccounts(tolerance ColdTolerance) *RateAccounts {
	return &RateAccounts{tolerance: tolerance, accounts: map[rateKey]rateAccount{}}
}

// rate is how many requests may be granted a second, so that no second has more arrivals than allowed although each request arrives up to
// RateGrantLife + requestTravel after its grant.
func (t ColdTolerance) rate(perSecond float64) float64 {
	most := perSecond * max(1, t.Overage)
	late := (RateGrantLife + requestTravel).Seconds()
	return max(0, min(most, (most+t.Slack-coldBurst)/(1+late)))
}

// bound is at which rate requests may be granted, and how many at once; both are infinite if the limit has ended and the upstream is not cold.
func (t ColdTolerance) bound(ask RateAsk) (perSecond, burst float64) {
	perSecond, burst = math.Inf(1), math.Inf(1)
	if limit := ask.Limit; limit != nil && limit.PerSecond != nil {
		perSecond = max(slowestLimit, *limit.PerSecond)
		burst = max(leastLimitBurst, perSecond*limitBurst.Seconds())
	}
	if ask.ColdPerSecond > 0 || ask.Limit == nil {
		perSecond, burst = min(perSecond, t.rate(ask.ColdPerSecond)), coldBurst
	}
	return perSecond, burst
}

// Ask takes one request off an upstream's account. share is the part of all boxes that the account is for: over both sides of a cut the
// parts add up to 1.
func (c *RateAccounts) Ask(ask RateAsk, share float64, now time.Time) RateGrant {
	rate, burst := c.tolerance.bound(ask)
	if math.IsInf(rate, 1) {
		return RateGrant{Granted: true}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rate *= share
	if !(rate > 0) {
		return RateGrant{Wait: maxRateWait}
	}
	key := rateKey{engine: ask.Engine, hall: ask.Hall}
	account := c.accounts[key]
	if passed := now.Sub(account.at); !account.at.IsZero() && passed < maxRateAccountAge {
		account.level = min(burst, account.level+rate*passed.Seconds())
		account.denied *= max(0, 1-passed.Seconds())
	} else {
		account = rateAccount{}
		c.forgetOld(now)
	}
	account.at = now
	grant := RateGrant{Granted: account.level >= 1}
	if grant.Granted {
		account.level--
	} else {
		account.denied++
		// Boxes that were denied come back one after the other, about as fast as requests may be granted.
		wait := min(maxRateWait.Seconds(), (1-account.level+account.denied-1)/rate)
		grant.Wait = time.Duration(wait * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
	}
	c.accounts[key] = account
	return grant
}

// maxRateAccountAge is after how long without an ask an account is forgotten.
const maxRateAccountAge = 10 * time.Second

// forgetOld drops the accounts of upstreams that nobody asked for lately. The caller holds the lock.
func (c *RateAccounts) forgetOld(now time.Time) {
	for key, account := range c.accounts {
		if now.Sub(account.at) > maxRateAccountAge {
			delete(c.accounts, key)
		}
	}
}
