package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("an upstream that states how many requests it can reject", func() {
	brittle := func(rejections float64, occupancy Occupancy) RateRequest {
		return RateRequest{Engine: "e", Limit: &fleet.LimitReport{Upstream: "e", Rejections: &rejections}, Occupancy: occupancy}
	}
	// granted returns how many of some asks at once are granted.
	granted := func(accounts *RateAccounts, ask RateRequest, asks int) int {
		count := 0
		for range asks {
			if accounts.Take(ask, 1, time.Now()).Granted {
				count++
			}
		}
		return count
	}

	It("gets as many requests as it has slots, and beyond them no more than it can reject in any second", func() {
		spectest.Bubble(func() {
			for _, rejections := range []float64{0, 1, 2, 5, 20} {
				accounts := NewRateAccounts(ColdTolerance{})
				ask := brittle(rejections, Occupancy{Slots: 8})
				Expect(granted(accounts, ask, 50)).To(Equal(8), "the keeper risks nothing at first")
				ask.Occupancy.Running = 8
				time.Sleep(10 * time.Second)
				var risked []time.Time
				for range 1000 {
					if accounts.Take(ask, 1, time.Now()).Granted {
						risked = append(risked, time.Now())
					}
					time.Sleep(10 * time.Millisecond)
				}
				for k, at := range risked {
					inSecond := 0
					for _, other := range risked[k:] {
						// Those granted half a second apart may arrive together.
						if other.Sub(at) <= 1500*time.Millisecond {
							inSecond++
						}
					}
					Expect(float64(inSecond)).To(BeNumerically("<=", max(1, rejections)), "%v", rejections)
				}
				Expect(len(risked) > 0).To(Equal(rejections >= 1), "%v", rejections)
			}
		})
	})

	It("gets less after it rejected a request, part of it while it rejects many, and as many again later", func() {
		spectest.Bubble(func() {
			accounts := NewRateAccounts(ColdTolerance{})
			ask := brittle(10, Occupancy{Slots: 64, Running: 20})
			Expect(granted(accounts, ask, 1)).To(Equal(1))
			rejected := ask
			rejected.Rejected = true
			Expect(accounts.Take(rejected, 1, time.Now()).Granted).To(BeFalse())
			Expect(granted(accounts, ask, 5)).To(BeZero(), "20 in flight filled it")
			ask.Occupancy.Running = 15
			Expect(granted(accounts, ask, 10)).To(Equal(5))
			for range 4 {
				accounts.Take(rejected, 1, time.Now())
			}
			ask.Occupancy.Running = 0
			Expect(granted(accounts, ask, 10)).To(Equal(4), "five were rejected, and one of five granted may still be: ten with these")
			time.Sleep(time.Minute)
			ask.Occupancy.Running = 60
			Expect(granted(accounts, ask, 3)).To(Equal(3))
		})
	})

	It("does not fail while it rejects many, even if it rejects all that it gets, and is not left idle if it does not", func() {
		spectest.Bubble(func() {
			for _, rejections := range []float64{0, 1, 2, 3, 5, 20} {
				accounts := NewRateAccounts(ColdTolerance{})
				ask := brittle(rejections, Occupancy{Slots: 64, Running: 8, HoldTime: 200 * time.Millisecond})
				rejected := ask
				rejected.Rejected = true
				many := int(math.Ceil(max(1, maxRejectedShare*rejections)))
				for range many {
					accounts.Take(rejected, 1, time.Now())
				}
				ask.Occupancy.Running = 0
				Expect(float64(many+granted(accounts, ask, 50))).To(BeNumerically("<=", max(1, rejections)), "%v", rejections)
				served := 0
				for range 8 {
					time.Sleep(100 * time.Millisecond)
					served += granted(accounts, ask, 50)
				}
				Expect(served > 0).To(Equal(float64(many) < rejections), "%v", rejections)
			}
		})
	})

	It("keeps both of its limits if it names two", func() {
		spectest.Bubble(func() {
			accounts := NewRateAccounts(ColdTolerance{})
			ask := brittle(3, Occupancy{Slots: 64})
			perSecond := 1.0
			ask.Limit.PerSecond = &perSecond
			count := 0
			for range 1000 {
				count += granted(accounts, ask, 3)
				time.Sleep(10 * time.Millisecond)
			}
			Expect(count).To(BeNumerically("~", 10, 2))
		})
	})

	It("is not harmed by values that make no sense", func() {
		spectest.Bubble(func() {
			random := rand.New(rand.NewPCG(1, 2))
			accounts := NewRateAccounts(ColdTolerance{})
			values := []float64{0, -1, 1e300, math.MaxFloat64, math.NaN(), math.Inf(1), 0.3}
			for range 2000 {
				ask := brittle(values[random.IntN(len(values))], Occupancy{
					Slots: random.IntN(5) - 2, Running: random.IntN(9) - 4, HoldTime: time.Duration(random.IntN(9)-4) * time.Second,
				})
				ask.Rejected = random.IntN(4) == 0
				grant := accounts.Take(ask, random.Float64(), time.Now())
				Expect(grant.Wait).To(BeNumerically(">=", 0))
				Expect(grant.Wait).To(BeNumerically("<=", 1250*time.Millisecond))
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			}
		})
	})
})
