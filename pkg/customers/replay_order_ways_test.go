package customers_test

import (
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/customers"
)

// orderScenario is what happens to the customer, to the boxes and to their builds.
type orderScenario struct {
	scenario
	// kinds replaces the kinds of requests.
	kinds []kind
	// begin changes the run.
	begin func(r *orderReplay)
	// inUseOnly means that only the way in use is played.
	inUseOnly bool
	// check checks the outcome of the way in use.
	check func(got orderResult)
}

// alike returns the kinds with the same urgency, as for a customer with an urgency of its own.
func alike() []kind {
	changed := slices.Clone(kinds)
	for i := range changed {
		changed[i].class.Urgency = 1
	}
	return changed
}

// smallPart is the limit of a small customer, of that of the customer above: three captions a second.
const smallPart = 29_000.0 / 2_100_000

// few returns the kinds at the rates of a small customer.
func few() []kind {
	changed := slices.Clone(kinds)
	for i := range changed {
		changed[i].perSecond *= smallPart
	}
	return changed
}

// small gives the customer the limit of a small one.
func small(r *orderReplay) {
	r.limit.PerSecond *= smallPart
	r.limit.Burst *= smallPart
}

// checkAll expects that all is granted.
func checkAll(got orderResult) {
	checkOrder(got)
	Expect(got.granted).To(HaveEach(BeNumerically(">", 0.999)))
}

// checkSpending expects the sum within the limit, and plain requests and chats granted rather than captions.
func checkSpending(got orderResult) {
	Expect(got.worstSpending).To(BeNumerically("<=", 1))
	Expect(min(got.granted[0], got.granted[1])).To(BeNumerically(">", max(got.granted[2], got.granted[3])))
}

// checkUrgent expects that what is ahead is granted whole, and the rest by urgency.
func checkUrgent(got orderResult) {
	checkOrder(got)
	Expect(got.granted[0]).To(BeNumerically(">", 0.98), "plain requests")
	Expect(got.granted[1]).To(BeNumerically(">", 0.98), "chats")
	Expect(got.granted[2]).To(BeNumerically(">", got.granted[3]), "premium captions before basic ones")
	Expect(got.storm).To(BeNumerically("<", 0.75), "requests that come back at once")
}

var orderScenarios = []orderScenario{
	{scenario: scenario{name: "usual", demandFactor: 1}, check: checkAll},
	{scenario: scenario{name: "hot", demandFactor: 5.4}, check: checkUrgent},
	{scenario: scenario{name: "usual, small", demandFactor: 1}, kinds: few(), begin: small, check: checkAll},
	{scenario: scenario{name: "hot, small", demandFactor: 5.4}, kinds: few(), begin: small, check: checkUrgent},
	{scenario: scenario{name: "hot, calls lost", demandFactor: 5.4, lossRate: 0.3}, inUseOnly: true, check: checkSpending},
	{scenario: scenario{name: "hot, 21 boxes isolated", demandFactor: 5.4, isolatedBoxes: 21}, inUseOnly: true, check: checkSpending},
	{scenario: scenario{name: "hot, keeper frozen", demandFactor: 5.4, keeperFrozen: true}, inUseOnly: true, check: checkSpending},
	{scenario: scenario{name: "hot, all restarted", demandFactor: 5.4, restartAll: true}, inUseOnly: true, check: checkSpending},
	{scenario: scenario{name: "hot, one class", demandFactor: 5.4}, kinds: kinds[2:3], check: checkOrder},
	{scenario: scenario{name: "hot, urgency alike", demandFactor: 5.4}, kinds: alike(), check: func(got orderResult) {
		checkOrder(got)
		Expect(got.granted[0]).To(BeNumerically(">", 0.98), "plain requests")
	}},
	{scenario: scenario{name: "hot, limit lowered", demandFactor: 5.4, limitFactor: 0.2}, check: func(got orderResult) {
		Expect(got.worstSpending).To(BeNumerically("<=", 1))
		Expect(got.granted[0]).To(BeNumerically(">", 0.98), "plain requests")
		Expect(got.granted[1]).To(BeNumerically(">", got.granted[2]), "chats before captions")
		Expect(got.granted[2]).To(BeNumerically("<", 0.02), "captions, behind the chats")
	}},
	{scenario: scenario{name: "hot, keeper down", demandFactor: 5.4, keeperDown: true}, check: func(got orderResult) {
		Expect(got.worstSpending).To(BeNumerically("<=", 1))
		Expect(got.granted[0]).To(BeNumerically(">", 0.95), "plain requests")
		Expect(got.granted[1]).To(BeNumerically(">", got.granted[2]))
		Expect(got.granted[2]).To(BeNumerically(">", got.granted[3]))
	}},
	{scenario: scenario{name: "hot, hall isolated", demandFactor: 5.4, isolateHall: true}, check: func(got orderResult) {
		Expect(got.worstSpending).To(BeNumerically("<=", 1))
		Expect(got.granted[0]).To(BeNumerically(">", 0.95), "plain requests")
		Expect(got.granted[1]).To(BeNumerically(">", got.granted[2]))
		Expect(got.granted[2]).To(BeNumerically(">", got.granted[3]))
	}},
	{scenario: scenario{name: "hot, half of the boxes of the build before", demandFactor: 5.4}, inUseOnly: true, begin: func(r *orderReplay) {
		newer := r.classOf
		r.classOf = func(box int, class customers.Class) customers.Class {
			if box%2 == 0 {
				return customers.Class{}
			}
			if newer != nil {
				return newer(box, class)
			}
			return class
		}
	}, check: checkOrder},
	{scenario: scenario{name: "hot, keeper of the build before", demandFactor: 5.4}, inUseOnly: true, begin: func(r *orderReplay) {
		r.spend = r.spendUnclassified
	}, check: checkOrder},
}

// orderWay is a way to choose what is granted.
type orderWay struct {
	name  string
	inUse bool
	begin func(r *orderReplay)
}

var orderWays = []orderWay{
	{name: "arrival", begin: func(r *orderReplay) {
		r.classOf = func(int, customers.Class) customers.Class { return customers.Class{} }
	}},
	{name: "fixed levels", begin: func(r *orderReplay) { r.spend = (&fixedLevels{r: r}).spend }},
	{name: "rate split", begin: func(r *orderReplay) { r.spend = (&rateSplit{r: r}).spend }},
	{name: "class levels", inUse: true},
}

// spendUnclassified is the keeper of a build that does not read classes.
func (r *orderReplay) spendUnclassified(to int, ask customers.SpendRequest, share float64) customers.Grant {
	ask.Classes = nil
	return r.keeper(to).Spend(ask, share, time.Now())
}

// fixedLevels grants a request while the account holds 20 times its cost, half of the burst at most. It knows no
// classes. Accounts of halls and boxes are as they are in use.
type fixedLevels struct {
	r       *orderReplay
	account plainAccount
}

func (f *fixedLevels) spend(to int, ask customers.SpendRequest, share float64) customers.Grant {
	if ask.Scope != customers.FleetScope {
		return f.r.keeper(to).Spend(ask, share, time.Now())
	}
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	a := &f.account
	a.refill(share*ask.Limit.PerSecond, share*ask.Limit.Burst, ask.Settled)
	grant := customers.Grant{Share: share}
	for _, cost := range ask.Costs {
		grant.Waits = append(grant.Waits, a.take(cost, min(20*cost, share*ask.Limit.Burst/2), share*ask.Limit.PerSecond))
	}
	grant.Level = a.level
	return grant
}

// plainAccount is a token bucket.
type plainAccount struct {
	level, awaiting float64
	at              time.Time
}

func (a *plainAccount) refill(rate, burst, settled float64) {
	if a.at.IsZero() {
		a.level = burst
	} else {
		added := time.Since(a.at).Seconds() * rate
		a.level, a.awaiting = min(burst, a.level+added-settled), max(0, a.awaiting-added)
	}
	a.at = time.Now()
}

func (a *plainAccount) take(cost, needed, rate float64) time.Duration {
	if a.level > needed {
		a.level -= cost
		return 0
	}
	wait := (a.awaiting + needed - a.level) / max(1, rate)
	a.awaiting += cost
	return time.Duration(min(10, max(0.05, wait)) * float64(time.Second))
}

// rateSplit gives each class an account of its own, which fills with a part of the rate: what the classes before it
// don't ask for. The order is that of the kinds. What a class leaves unspent of its burst is lost.
type rateSplit struct {
	r        *orderReplay
	accounts map[customers.Class]*splitAccount
	at       time.Time
}

type splitAccount struct {
	plainAccount
	asked float64
}

func (s *rateSplit) spend(to int, ask customers.SpendRequest, share float64) customers.Grant {
	if ask.Scope != customers.FleetScope {
		return s.r.keeper(to).Spend(ask, share, time.Now())
	}
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	if s.accounts == nil {
		s.accounts, s.at = map[customers.Class]*splitAccount{}, time.Now()
	}
	keep := max(0, 1-time.Since(s.at).Seconds())
	s.at = time.Now()
	for _, a := range s.accounts {
		a.asked *= keep
	}
	for i, cost := range ask.Costs {
		s.account(ask.Classes.Classes[ask.Classes.Of[i]]).asked += cost
	}
	left := share * ask.Limit.PerSecond
	rates := map[customers.Class]float64{}
	for i, k := range s.r.kinds {
		a := s.account(k.class)
		rates[k.class] += min(left, a.asked)
		if i == len(s.r.kinds)-1 {
			rates[k.class] = left
		}
		left = max(0, left-a.asked)
	}
	for class, a := range s.accounts {
		a.refill(rates[class], share*ask.Limit.Burst*rates[class]/max(1, share*ask.Limit.PerSecond), 0)
	}
	grant := customers.Grant{Share: share}
	for i, cost := range ask.Costs {
		class := ask.Classes.Classes[ask.Classes.Of[i]]
		grant.Waits = append(grant.Waits, s.account(class).take(cost, 0, rates[class]))
	}
	return grant
}

func (s *rateSplit) account(class customers.Class) *splitAccount {
	if s.accounts[class] == nil {
		s.accounts[class] = &splitAccount{}
	}
	return s.accounts[class]
}
