package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// grantFunc decides whether one of many boxes may send a request to a cold engine now, and when it may ask again.
type grantFunc func(box int, now time.Time) RateGrant

// simulateColdEngine makes boxes ask to send requests to one engine while it is cold. Each request takes up to
// RateGrantTTL + maxRequestTransit to arrive after its grant. It returns the highest number of arrivals in any
// second and the number of all arrivals.
func simulateColdEngine(boxes int, perSecond float64, span time.Duration, ask grantFunc) (worst, all int) {
	random := rand.New(rand.NewPCG(1, uint64(boxes)))
	begun := time.Unix(1000, 0)
	next := make([]time.Time, boxes)
	var arrivals []time.Duration
	const step = 5 * time.Millisecond
	for at := time.Duration(0); at < span; at += step {
		now := begun.Add(at)
		for box := range boxes {
			// Each box has requests for the engine at its part of the rate.
			if now.Before(next[box]) || random.Float64() > perSecond*step.Seconds()/float64(boxes) {
				continue
			}
			grant := ask(box, now)
			if !grant.Granted {
				next[box] = now.Add(grant.Wait)
				continue
			}
			arrivals = append(arrivals, at+time.Duration(random.Float64()*float64(RateGrantTTL+maxRequestTransit)))
		}
	}
	for _, from := range arrivals {
		count := 0
		for _, other := range arrivals {
			if other >= from && other < from+time.Second {
				count++
			}
		}
		worst = max(worst, count)
	}
	return worst, len(arrivals)
}

var _ = Describe("requests of many boxes to a cold engine", func() {
	const rate, asked = 6.6, 200.0
	const cold = 3 * time.Second
	tolerance := ColdTolerance{Overage: 1.5, Slack: 5}
	bound := rate*tolerance.Overage + tolerance.Slack

	// fixedParts gives each box an equal part of the rate.
	fixedParts := func(boxes int) grantFunc {
		accounts := make([]*RateAccounts, boxes)
		for box := range accounts {
			accounts[box] = NewRateAccounts(tolerance)
		}
		return func(box int, now time.Time) RateGrant {
			return accounts[box].Take(RateRequest{Engine: "e", ColdPerSecond: rate}, 1/float64(boxes), now)
		}
	}
	// oneKeeper lets one box grant for all, as the software does.
	oneKeeper := func(int) grantFunc {
		keeper := NewRateAccounts(tolerance)
		return func(_ int, now time.Time) RateGrant {
			return keeper.Take(RateRequest{Engine: "e", ColdPerSecond: rate}, 1, now)
		}
	}
	// keeperPerSide has one keeper on each side of a network partition, with a third of the boxes on one side.
	keeperPerSide := func(boxes int) grantFunc {
		sides := []*RateAccounts{NewRateAccounts(tolerance), NewRateAccounts(tolerance)}
		return func(box int, now time.Time) RateGrant {
			side, share := 0, 2.0/3
			if box < boxes/3 {
				side, share = 1, 1.0/3
			}
			return sides[side].Take(RateRequest{Engine: "e", ColdPerSecond: rate}, share, now)
		}
	}

	It("stay within the bound with one keeper, which grants what the engine can take; fixed parts leave it idle", func() {
		for _, boxes := range []int{33, 91, 515} {
			worst, all := simulateColdEngine(boxes, asked, cold, oneKeeper(boxes))
			fixedWorst, fixedAll := simulateColdEngine(boxes, asked, cold, fixedParts(boxes))
			splitWorst, splitAll := simulateColdEngine(boxes, asked, cold, keeperPerSide(boxes))
			GinkgoWriter.Printf("%d boxes: keeper %d in a second, %d in all; fixed parts %d, %d; a keeper on each side of a partition %d, %d\n",
				boxes, worst, all, fixedWorst, fixedAll, splitWorst, splitAll)
			Expect(float64(worst)).To(BeNumerically("<=", bound))
			Expect(float64(splitWorst)).To(BeNumerically("<=", bound))
			Expect(float64(all)).To(BeNumerically(">=", rate*cold.Seconds()*0.9))
			Expect(fixedAll).To(BeNumerically("<", all/2))
		}
	})

	It("are not granted by a keeper that has just taken over, or for an engine that can take none", func() {
		keeper := NewRateAccounts(tolerance)
		now := time.Unix(1000, 0)
		Expect(keeper.Take(RateRequest{Engine: "e", ColdPerSecond: rate}, 1, now).Granted).To(BeFalse())
		for range 100 {
			now = now.Add(time.Second)
			grant := keeper.Take(RateRequest{Engine: "f"}, 1, now)
			Expect(grant.Granted).To(BeFalse())
			Expect(grant.Wait).To(BeNumerically(">", 0))
		}
	})

	It("leave no account behind", func() {
		keeper := NewRateAccounts(tolerance)
		now := time.Unix(1000, 0)
		for n := range 1000 {
			now = now.Add(time.Second)
			keeper.Take(RateRequest{Engine: string(rune('a' + n%20)), ColdPerSecond: rate}, 1, now)
		}
		Expect(len(keeper.accounts)).To(BeNumerically("<=", 20))
	})
})

var _ = Describe("requests of many boxes to an upstream that names a limit", func() {
	const window, overage, slack = 4 * time.Second, 1.5, 5
	ask := func(perSecond float64) RateRequest {
		return RateRequest{Engine: "e", Limit: &fleet.LimitReport{Upstream: "e", PerSecond: &perSecond}}
	}
	// maxInWindow returns the highest number of requests within a window.
	maxInWindow := func(sent []time.Duration) (worst int) {
		first := 0
		for last, at := range sent {
			for at-sent[first] > window {
				first++
			}
			worst = max(worst, last-first+1)
		}
		return worst
	}
	// simulate makes boxes ask an account for requests at perSecond in total. It returns the arrival times; each
	// request arrives some time after its grant.
	simulate := func(account *RateAccounts, share float64, boxes int, limit func(at time.Duration) float64, perSecond float64, span time.Duration) []time.Duration {
		random := rand.New(rand.NewPCG(1, uint64(boxes)))
		begun := time.Unix(1000, 0)
		next := make([]time.Time, boxes)
		var arrivals []time.Duration
		const step = time.Millisecond
		for at := time.Duration(0); at < span; at += step {
			if random.Float64() > perSecond*step.Seconds() {
				continue
			}
			box, now := random.IntN(boxes), begun.Add(at)
			if now.Before(next[box]) {
				continue
			}
			grant := account.Take(ask(limit(at)), share, now)
			if !grant.Granted {
				next[box] = now.Add(grant.Wait)
				continue
			}
			arrivals = append(arrivals, at+time.Duration(random.Float64()*float64(RateGrantTTL+maxRequestTransit)))
		}
		slices.Sort(arrivals)
		return arrivals
	}
	always := func(perSecond float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return perSecond }
	}

	It("stay within the bound in any window and use most of the limit, with one keeper, at limits of any size", func() {
		const span = 60 * time.Second
		for _, boxes := range []int{7, 39, 515} {
			for _, limit := range []float64{0.3, 1, 1.8, 8, 60} {
				sent := simulate(NewRateAccounts(ColdTolerance{}), 1, boxes, always(limit), 10*limit, span)
				GinkgoWriter.Printf("%d boxes, limit %v: %d in a window, %d in all\n", boxes, limit, maxInWindow(sent), len(sent))
				Expect(float64(maxInWindow(sent))).To(BeNumerically("<=", overage*limit*window.Seconds()+slack))
				Expect(float64(len(sent))).To(BeNumerically(">=", 0.8*limit*span.Seconds()))
				Expect(float64(len(sent))).To(BeNumerically("<=", limit*span.Seconds()+max(minLimitBurst, limit)))
			}
		}
	})

	It("stay within it over all sides of a network partition, and within each hall's part", func() {
		const limit, span = 8.0, 30 * time.Second
		var sent []time.Duration
		for _, share := range []float64{1.0 / 7, 2.0 / 7, 4.0 / 7} {
			sent = append(sent, simulate(NewRateAccounts(ColdTolerance{}), share, 20, always(limit), 80, span)...)
		}
		slices.Sort(sent)
		Expect(float64(maxInWindow(sent))).To(BeNumerically("<=", overage*limit*window.Seconds()+slack))
	})

	It("follow a falling or rising limit at once, and are still sent slowly at a limit of 0, so that its end is noticed", func() {
		sent := simulate(NewRateAccounts(ColdTolerance{}), 1, 7, func(at time.Duration) float64 {
			switch {
			case at < 20*time.Second:
				return 40
			case at < 40*time.Second:
				return 1
			}
			return 40
		}, 100, 60*time.Second)
		count := func(from, until time.Duration) (in float64) {
			for _, at := range sent {
				if at >= from && at < until {
					in++
				}
			}
			return in
		}
		Expect(count(21*time.Second, 25*time.Second)).To(BeNumerically("<=", 11))
		Expect(count(41*time.Second, 45*time.Second)).To(BeNumerically(">", 120))
		none := simulate(NewRateAccounts(ColdTolerance{}), 1, 7, always(0), 100, 60*time.Second)
		Expect(maxInWindow(none)).To(BeNumerically("<=", slack))
		Expect(none).NotTo(BeEmpty())
	})

	It("go to a cold upstream at the lower of both rates, and without bound once the limit has ended", func() {
		accounts := NewRateAccounts(ColdTolerance{Overage: 1.5, Slack: 5})
		cold := ask(100)
		cold.ColdPerSecond = 2
		now := time.Unix(1000, 0)
		granted := 0
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			if accounts.Take(cold, 1, now).Granted {
				granted++
			}
		}
		Expect(granted).To(BeNumerically("<=", 31))
		for range 100 {
			Expect(accounts.Take(RateRequest{Engine: "e", Limit: &fleet.LimitReport{Upstream: "e"}}, 0.01, now).Granted).To(BeTrue())
		}
	})
})
