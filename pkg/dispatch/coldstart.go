package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"
)

// ColdTolerance is by how much the requests that a cold engine gets in any second, over all boxes, may exceed what it bears.
type ColdTolerance struct {
	// Overage is the factor on the rate that it bears; 0 counts as 1. Slack is in requests.
	Overage, Slack float64
}

// ColdAsk asks for one request to a cold engine.
type ColdAsk struct {
	Engine string `json:"engine"`
	// PerSecond is the rate that cold engines of its service bear.
	PerSecond float64 `json:"perSecond"`
}

// ColdGrant answers a ColdAsk.
type ColdGrant struct {
	// Granted means that one request may be sent within ColdGrantLife.
	Granted bool `json:"granted"`
	// Wait is after how long to ask again; 0 if it was granted.
	Wait time.Duration `json:"wait,omitempty"`
}

const (
	// ColdGrantLife is how long a grant holds until the request is sent.
	ColdGrantLife = 100 * time.Millisecond
	// coldTravel is how long a request may be on its way to an engine, a new connection included.
	coldTravel = 400 * time.Millisecond
	// coldBurst is how many requests may be granted at once.
	coldBurst = 1
	// maxColdWait bounds the pause between two asks of one box.
	maxColdWait = time.Second
)

// ColdStarts grants requests to the cold engines that this box keeps for all boxes. One box keeps the account of an engine, so that the
// bound holds over boxes that share nothing; each box with a fixed part would send none at all while an engine is cold, since a part of a
// few requests a second among 91 boxes is one in nine seconds. It is safe for concurrent use.
type ColdStarts struct {
	tolerance ColdTolerance

	mu       sync.Mutex
	accounts map[string]coldAccount
}

// coldAccount is what an engine may get.
type coldAccount struct {
	// level is how many requests may be granted, as of a time.
	level float64
	// denied are the asks of the last second that were not granted.
	denied float64
	at     time.Time
}

// NewColdStarts returns accounts that are empty: a former keeper's last grants may still be on their way.
func NewColdStarts(tolerance ColdTolerance) *ColdStarts {
	return &ColdStarts{tolerance: tolerance, accounts: map[string]coldAccount{}}
}

// rate is how many requests may be granted a second, so that no second has more arrivals than allowed although each request arrives up to
// ColdGrantLife + coldTravel after its grant.
func (t ColdTolerance) rate(perSecond float64) float64 {
	most := perSecond * max(1, t.Overage)
	late := (ColdGrantLife + coldTravel).Seconds()
	return max(0, min(most, (most+t.Slack-coldBurst)/(1+late)))
}

// Ask takes one request off an engine's account. share is the part of all boxes that are in touch with this one: on both sides of a cut the
// parts add up to 1.
func (c *ColdStarts) Ask(ask ColdAsk, share float64, now time.Time) ColdGrant {
	c.mu.Lock()
	defer c.mu.Unlock()
	rate := share * c.tolerance.rate(ask.PerSecond)
	if !(rate > 0) {
		return ColdGrant{Wait: maxColdWait}
	}
	account := c.accounts[ask.Engine]
	if passed := now.Sub(account.at); !account.at.IsZero() && passed < maxColdAccountAge {
		account.level = min(coldBurst, account.level+rate*passed.Seconds())
		account.denied *= max(0, 1-passed.Seconds())
	} else {
		account = coldAccount{}
		c.forgetOld(now)
	}
	account.at = now
	grant := ColdGrant{Granted: account.level >= 1}
	if grant.Granted {
		account.level--
	} else {
		account.denied++
		// Boxes that were denied come back one after the other, about as fast as requests may be granted.
		wait := min(maxColdWait.Seconds(), (1-account.level+account.denied-1)/rate)
		grant.Wait = time.Duration(wait * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
	}
	c.accounts[ask.Engine] = account
	return grant
}

// maxColdAccountAge is after how long without an ask an account is forgotten.
const maxColdAccountAge = 10 * time.Second

// forgetOld drops the accounts of engines that nobody asked for lately. The caller holds the lock.
func (c *ColdStarts) forgetOld(now time.Time) {
	for engine, account := range c.accounts {
		if now.Sub(account.at) > maxColdAccountAge {
			delete(c.accounts, engine)
		}
	}
}
