package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// coldWay decides whether one of many boxes may send a request to a cold engine, and when to ask again.
type coldWay func(box int, now time.Time) RateGrant

// replayCold has boxes ask to send to one cold engine for as long as it is cold, each request on its way for up to requestTravel, and returns
// the most that arrive in any second and all that arrive.
func replayCold(boxes int, perSecond float64, span time.Duration, way coldWay) (worst, all int) {
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
			grant := way(box, now)
			if !grant.Granted {
				next[box] = now.Add(grant.Wait)
				continue
			}
			arrivals = append(arrivals, at+time.Duration(random.Float64()*float64(RateGrantLife+requestTravel)))
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

	// fixedParts gives each box its part of what all may send.
	fixedParts := func(boxes int) coldWay {
		accounts := make([]*RateAccounts, boxes)
		for box := range accounts {
			accounts[box] = NewRateAccounts(tolerance)
		}
		return func(box int, now time.Time) RateGrant {
			return accounts[box].Ask(RateAsk{Engine: "e", ColdPerSecond: rate}, 1/float64(boxes), now)
		}
	}
	// oneKeeper is the way in use: one box grants for all.
	oneKeeper := func(int) coldWay {
		keeper := NewRateAccounts(tolerance)
		return func(_ int, now time.Time) RateGrant {
			return keeper.Ask(RateAsk{Engine: "e", ColdPerSecond: rate}, 1, now)
		}
	}
	// bothSides is one keeper on each side of a cut, a third of the boxes on one.
	bothSides := func(boxes int) coldWay {
		sides := []*RateAccounts{NewRateAccounts(tolerance), NewRateAccounts(tolerance)}
		return func(box int, now time.Time) RateGrant {
			side, share := 0, 2.0/3
			if box < boxes/3 {
				side, share = 1, 1.0/3
			}
			return sides[side].Ask(RateAsk{Engine: "e", ColdPerSecond: rate}, share, now)
		}
	}

	It("stay within the bound by one keeper, who grants what the engine bears; fixed parts leave it idle", func() {
		for _, boxes := range []int{33, 91, 515} {
			worst, all := replayCold(boxes, asked, cold, oneKeeper(boxes))
			fixedWorst, fixedAll := replayCold(boxes, asked, cold, fixedParts(boxes))
			cutWorst, cutAll := replayCold(boxes, asked, cold, bothSides(boxes))
			GinkgoWriter.Printf("%d boxes: keeper %d in a second, %d in all; fixed parts %d, %d; a keeper on each side of a cut %d, %d\n",
				boxes, worst, all, fixedWorst, fixedAll, cutWorst, cutAll)
			Expect(float64(worst)).To(BeNumerically("<=", bound))
			Expect(float64(cutWorst)).To(BeNumerically("<=", bound))
			Expect(float64(all)).To(BeNumerically(">=", rate*cold.Seconds()*0.9))
			Expect(fixedAll).To(BeNumerically("<", all/2))
		}
	})

	It("are not granted by a keeper that has just taken over, or for an engine that bears none", func() {
		keeper := NewRateAccounts(tolerance)
		now := time.Unix(1000, 0)
		Expect(keeper.Ask(RateAsk{Engine: "e", ColdPerSecond: rate}, 1, now).Granted).To(BeFalse())
		for range 100 {
			now = now.Add(time.Second)
			grant := keeper.Ask(RateAsk{Engine: "f"}, 1, now)
			Expect(grant.Granted).To(BeFalse())
			Expect(grant.Wait).To(BeNumerically(">", 0))
		}
	})

	It("leave no account behind", func() {
		keeper := NewRateAccounts(tolerance)
		now := time.Unix(1000, 0)
		for n := range 1000 {
			now = now.Add(time.Second)
			keeper.Ask(RateAsk{Engine: string(rune('a' + n%20)), ColdPerSecond: rate}, 1, now)
		}
		Expect(len(keeper.accounts)).To(BeNumerically("<=", 20))
	})
})

var _ = Describe("requests of many boxes to an upstream that names a limit", func() {
	const window, overage, slack = 4 * time.Second, 1.5, 5
	ask := func(perSecond float64) RateAsk {
		return RateAsk{Engine: "e", Limit: &fleet.LimitReport{Upstream: "e", PerSecond: &perSecond}}
	}
	// worstIn is the most of some requests within a window.
	worstIn := func(sent []time.Duration) (worst int) {
		first := 0
		for last, at := range sent {
			for at-sent[first] > window {
				first++
			}
			worst = max(worst, last-first+1)
		}
		return worst
	}
	// replay has requests ask for a time at an account, all boxes together as often as given, and returns when they arrive, each some time after
	// its grant.
	replay := func(account *RateAccounts, share float64, boxes int, limit func(at time.Duration) float64, perSecond float64, span time.Duration) []time.Duration {
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
			grant := account.Ask(ask(limit(at)), share, now)
			if !grant.Granted {
				next[box] = now.Add(grant.Wait)
				continue
			}
			arrivals = append(arrivals, at+time.Duration(random.Float64()*float64(RateGrantLife+requestTravel)))
		}
		slices.Sort(arrivals)
		return arrivals
	}
	always := func(perSecond float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return perSecond }
	}

	It("stay within the bound on any window, and leave little of it idle, by one keeper, at limits of any size", func() {
		const span = 60 * time.Second
		for _, boxes := range []int{7, 39, 515} {
			for _, limit := range []float64{0.3, 1, 1.8, 8, 60} {
				sent := replay(NewRateAccounts(ColdTolerance{}), 1, boxes, always(limit), 10*limit, span)
				GinkgoWriter.Printf("%d boxes, limit %v: %d in a window, %d in all\n", boxes, limit, worstIn(sent), len(sent))
				Expect(float64(worstIn(sent))).To(BeNumerically("<=", overage*limit*window.Seconds()+slack))
				Expect(float64(len(sent))).To(BeNumerically(">=", 0.8*limit*span.Seconds()))
				Expect(float64(len(sent))).To(BeNumerically("<=", limit*span.Seconds()+max(leastLimitBurst, limit)))
			}
		}
	})

	It("stay within it over both sides of a cut, and within each hall's part", func() {
		const limit, span = 8.0, 30 * time.Second
		var sent []time.Duration
		for _, share := range []float64{1.0 / 7, 2.0 / 7, 4.0 / 7} {
			sent = append(sent, replay(NewRateAccounts(ColdTolerance{}), share, 20, always(limit), 80, span)...)
		}
		slices.Sort(sent)
		Expect(float64(worstIn(sent))).To(BeNumerically("<=", overage*limit*window.Seconds()+slack))
	})

	It("follow a limit that falls and rises at once, and one of nothing at all slowly, so that its end is noticed", func() {
		sent := replay(NewRateAccounts(ColdTolerance{}), 1, 7, func(at time.Duration) float64 {
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
		none := replay(NewRateAccounts(ColdTolerance{}), 1, 7, always(0), 100, 60*time.Second)
		Expect(worstIn(none)).To(BeNumerically("<=", slack))
		Expect(none).NotTo(BeEmpty())
	})

	It("go to a cold one at the lower of both rates, and freely once the limit has ended", func() {
		accounts := NewRateAccounts(ColdTolerance{Overage: 1.5, Slack: 5})
		cold := ask(100)
		cold.ColdPerSecond = 2
		now := time.Unix(1000, 0)
		granted := 0
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			if accounts.Ask(cold, 1, now).Granted {
				granted++
			}
		}
		Expect(granted).To(BeNumerically("<=", 31))
		for range 100 {
			Expect(accounts.Ask(RateAsk{Engine: "e", Limit: &fleet.LimitReport{Upstream: "e"}}, 0.01, now).Granted).To(BeTrue())
		}
	})
})
