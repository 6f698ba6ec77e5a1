package dispatch

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// ColdTolerance is by how much the requests that all boxes send to a cold engine in any second may exceed the
// rate that it can take. An engine is cold for some time after its start.
type ColdTolerance struct {
	// Overage is a factor on that rate; 0 means 1. Slack is a number of requests on top.
	Overage, Slack float64
}

// RateRequest asks for permission to send one request to an upstream whose request rate over all boxes is limited.
type RateRequest struct {
	Engine string `json:"engine"`
	// ColdPerSecond is the rate that a cold engine of the service can take; 0 if the upstream is not cold.
	ColdPerSecond float64 `json:"perSecond"`
	// Limit is the limit that the upstream names, as known to the asking box; nil if none is known.
	Limit *fleet.LimitReport `json:"limit,omitempty"`
	// Hall takes the request from the account of the asking box's hall instead of the account of all boxes.
	Hall bool `json:"hall,omitempty"`
	// Rejected means that the upstream rejected a request of the asking box for want of room. Nothing is granted.
	Rejected bool `json:"rejected,omitempty"`
	// Occupancy is what the keeper knows about the upstream's requests in flight.
	Occupancy Occupancy `json:"-"`
}

// RateGrant is the response to a RateRequest.
type RateGrant struct {
	// Granted means that one request may be sent within RateGrantTTL.
	Granted bool `json:"granted"`
	// Wait is the time after which to ask again; 0 if granted.
	Wait time.Duration `json:"wait,omitempty"`
	// Limit is the upstream's limit as known to the keeper; nil if none is known.
	Limit *fleet.LimitReport `json:"limit,omitempty"`
}

const (
	// RateGrantTTL is how long a grant is valid before the request is sent.
	RateGrantTTL = 100 * time.Millisecond
	// maxRequestTransit is the longest time from sending a request to its arrival at an engine, including
	// the setup of a new connection.
	maxRequestTransit = 400 * time.Millisecond
	// coldBurst is how many requests to a cold engine may be granted at once.
	coldBurst = 1
	// limitBurstTime is the burst of an upstream that names a limit, as time at its rate; it is at least
	// minLimitBurst requests. Without a burst, grants are lost because denied boxes retry later than
	// requests may be granted.
	limitBurstTime = 500 * time.Millisecond
	minLimitBurst  = 2
	// minLimitRate is the lowest rate of grants to an upstream that names a limit, in requests per second. Only
	// the response to a request can show that the limit has ended.
	minLimitRate = 0.1
	// maxRateWait bounds the time between two asks of one box.
	maxRateWait = time.Second
)

// RateAccounts grants requests to the upstreams that this box keeps the accounts of, on behalf of all boxes. An
// account is a token bucket. One box keeps the account of an upstream, so that the limit holds over boxes that
// share no state. With a fixed part for each box, boxes would send next to nothing: of a few requests per second,
// each of 91 boxes would get one in many seconds. It is safe for concurrent use.
type RateAccounts struct {
	tolerance ColdTolerance

	mu       sync.Mutex
	accounts map[rateKey]rateAccount
}

// rateKey identifies an account.
type rateKey struct {
	engine string
	hall   bool
}

// rateAccount is the token bucket of one upstream.
type rateAccount struct {
	// tokens is the number of requests that may be granted at the time at.
	tokens float64
	// denied counts the asks of about the last second that were not granted.
	denied float64
	at     time.Time
	// room bounds the requests that the upstream would reject.
	room roomAccount
}

// NewRateAccounts returns accounts without tokens: requests granted by a former keeper may still be on their way.
func NewRateAccounts(tolerance ColdTolerance) *RateAccounts {
	return &RateAccounts{tolerance: tolerance, accounts: map[rateKey]rateAccount{}}
}

// rate returns how many requests may be granted per second. It keeps the arrivals in any second within the
// bound although each request arrives up to RateGrantTTL + maxRequestTransit after its grant.
func (t ColdTolerance) rate(perSecond float64) float64 {
	maxRate := perSecond * max(1, t.Overage)
	maxDelay := (RateGrantTTL + maxRequestTransit).Seconds()
	return max(0, min(maxRate, (maxRate+t.Slack-coldBurst)/(1+maxDelay)))
}

// bound returns the rate at which requests may be granted and how many at once. Both are infinite if the limit
// has ended and the upstream is not cold.
func (t ColdTolerance) bound(ask RateRequest) (perSecond, burst float64) {
	perSecond, burst = math.Inf(1), math.Inf(1)
	if limit := ask.Limit; limit != nil && limit.PerSecond != nil {
		perSecond = max(minLimitRate, *limit.PerSecond)
		burst = max(minLimitBurst, perSecond*limitBurstTime.Seconds())
	}
	if ask.ColdPerSecond > 0 || ask.Limit == nil {
		perSecond, burst = min(perSecond, t.rate(ask.ColdPerSecond)), coldBurst
	}
	return perSecond, burst
}

// Take takes one request from an upstream's account, or denies it. share is the fraction of all boxes that the
// account serves; during a network partition the shares of both sides add up to 1.
func (c *RateAccounts) Take(ask RateRequest, share float64, now time.Time) RateGrant {
	rate, burst := c.tolerance.bound(ask)
	brittle := ask.Limit != nil && ask.Limit.Rejections != nil
	if math.IsInf(rate, 1) && !brittle {
		return RateGrant{Granted: !ask.Rejected}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rate *= share
	if !(rate > 0) {
		return RateGrant{Wait: maxRateWait}
	}
	key := rateKey{engine: ask.Engine, hall: ask.Hall}
	account := c.refill(key, rate, burst, now)
	grant := RateGrant{}
	switch {
	case ask.Rejected:
		account.room.recordRejection(ask.Occupancy, now)
	case account.tokens < 1:
		account.denied++
		// Spread the retries of denied boxes to about the rate at which requests may be granted.
		grant.Wait = spread((1 - account.tokens + account.denied - 1) / rate)
	case brittle && !account.room.take(ask.Occupancy, *ask.Limit.Rejections, share, now):
		account.denied++
		grant.Wait = spread(account.denied / (asksPerEnd * ask.Occupancy.endsPerSecond() * share))
	default:
		grant.Granted = true
		account.tokens--
	}
	c.accounts[key] = account
	return grant
}

// spread returns a time around a number of seconds, at most maxRateWait.
func spread(seconds float64) time.Duration {
	return time.Duration(min(maxRateWait.Seconds(), seconds) * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
}

// refill returns an account with the tokens that it has now. The caller holds the lock.
func (c *RateAccounts) refill(key rateKey, rate, burst float64, now time.Time) rateAccount {
	account := c.accounts[key]
	if passed := now.Sub(account.at); !account.at.IsZero() && passed < rateAccountTTL {
		account.tokens = min(burst, account.tokens+rate*passed.Seconds())
		account.denied *= max(0, 1-passed.Seconds())
	} else {
		account = rateAccount{}
		c.pruneAccounts(now)
	}
	if math.IsInf(rate, 1) {
		account.tokens = 1
	}
	account.at = now
	return account
}

// rateAccountTTL is the time after which an account is dropped if no box asks.
const rateAccountTTL = 10 * time.Second

// pruneAccounts drops the accounts of upstreams that were not asked for lately. The caller holds the lock.
func (c *RateAccounts) pruneAccounts(now time.Time) {
	for key, account := range c.accounts {
		if now.Sub(account.at) > rateAccountTTL {
			delete(c.accounts, key)
		}
	}
}
