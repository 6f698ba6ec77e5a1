package dispatch

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
