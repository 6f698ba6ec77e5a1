package customers_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var (
	urgent   = customers.Class{Service: "lm", Urgency: 0}
	ordinary = customers.Class{Service: "lm", Urgency: 1}
	idle     = customers.Class{Service: "lm", Urgency: 2}
	plain    = customers.Class{Service: "orders", Urgency: 9}
)

// charge is the cost of a request of a class.
type charge struct {
	class customers.Class
	cost  float64
}

// askForAll returns a SpendRequest for charges.
func askForAll(limit customers.Limit, charges ...charge) customers.SpendRequest {
	ask := askFor(limit, 1)
	ask.Classes = &customers.ClassList{}
	for i, c := range charges {
		ask.Costs = append(ask.Costs, c.cost)
		ask.Classes.Classes = append(ask.Classes.Classes, c.class)
		ask.Classes.Of = append(ask.Classes.Of, i)
	}
	return ask
}

// flooded returns a keeper whose account got the charges every 10 ms, for 3 s.
func flooded(limit customers.Limit, charges ...charge) *customers.Keeper {
	keeper := customers.NewKeeper(strict)
	for range 300 {
		time.Sleep(10 * time.Millisecond)
		keeper.Spend(askForAll(limit, charges...), 1, time.Now())
	}
	return keeper
}

var _ = Describe("An account in a flood", func() {
	limit := customers.Limit{PerSecond: 1000, Burst: 1000}
	// The flood asks for 100, 300, 3,000 and 2,000 units per second.
	flood := []charge{{idle, 20}, {plain, 1}, {ordinary, 30}, {urgent, 3}}

	It("grants what is ahead of each service, in whatever order it comes, then by urgency", func() {
		spectest.Bubble(func() {
			keeper := flooded(limit, flood...)
			granted := map[customers.Class]int{}
			for range 200 {
				time.Sleep(10 * time.Millisecond)
				grant := keeper.Spend(askForAll(limit, flood...), 1, time.Now())
				for i, wait := range grant.Waits {
					if wait == 0 {
						granted[flood[i].class]++
					}
				}
				Expect(grant.Thresholds[1]).To(BeZero())
				Expect(grant.Thresholds[3]).To(BeZero())
				Expect(grant.Thresholds[2]).To(BeNumerically(">", 40), "room for 0.1 s of the classes ahead")
				Expect(grant.Thresholds[0]).To(BeNumerically(">", grant.Thresholds[2]))
			}
			Expect(granted[plain]).To(Equal(200))
			Expect(granted[urgent]).To(Equal(200))
			Expect(granted[ordinary]).To(BeNumerically("~", 2*600/30, 4), "all that is left of the rate")
			Expect(granted[idle]).To(BeZero())
		})
	})

	It("grants what is behind as soon as those ahead of it leave room", func() {
		spectest.Bubble(func() {
			keeper := flooded(limit, flood...)
			granted := 0
			for range 300 {
				time.Sleep(10 * time.Millisecond)
				if keeper.Spend(askForAll(limit, charge{idle, 20}), 1, time.Now()).Waits[0] == 0 {
					granted++
				}
			}
			Expect(granted).To(BeNumerically(">", 3*1000/20*0.8))
		})
	})

	It("never grants a less urgent class of a service while it refuses a more urgent one", func() {
		spectest.Bubble(func() {
			random := rand.New(rand.NewPCG(1, 2))
			keeper := customers.NewKeeper(strict)
			for range 3000 {
				time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
				var charges []charge
				for range 1 + random.IntN(6) {
					class := customers.Class{Service: fmt.Sprint(random.IntN(3)), Urgency: random.IntN(4)}
					charges = append(charges, charge{class, random.ExpFloat64() * 20})
				}
				grant := keeper.Spend(askForAll(limit, charges...), 1, time.Now())
				for i, refused := range charges {
					for j, got := range charges {
						if grant.Waits[i] != 0 && grant.Waits[j] == 0 && refused.class.Service == got.class.Service {
							Expect(got.class.Urgency).To(BeNumerically("<=", refused.class.Urgency))
						}
					}
				}
			}
		})
	})

	It("gives services that ask for much the same part of the limit", func() {
		spectest.Bubble(func() {
			charges := []charge{{urgent, 4}, {ordinary, 40}, {customers.Class{Service: "b"}, 40}, {plain, 1}}
			grant := flooded(limit, charges...).Spend(askForAll(limit, charges...), 1, time.Now())
			Expect(grant.Thresholds[0]).To(BeZero())
			Expect(grant.Thresholds[3]).To(BeZero())
			Expect(grant.Thresholds[1]).To(BeNumerically("~", grant.Thresholds[2], 1))
			Expect(grant.Thresholds[2]).To(BeNumerically(">", 40))
		})
	})

	It("tells a class the time by what it can be granted of it: the longest for one that gets nothing", func() {
		spectest.Bubble(func() {
			keeper := flooded(limit, flood...)
			grant := keeper.Spend(askForAll(limit, flood[0], flood[2], flood[2]), 1, time.Now())
			Expect(grant.Waits[0]).To(Equal(10 * time.Second))
			Expect(grant.Waits[2]).To(BeNumerically(">", 7900*time.Millisecond), "a fifth of it is granted")
		})
	})

	It("tells requests that come at once to retry one after the other", func() {
		spectest.Bubble(func() {
			keeper := customers.NewKeeper(strict)
			keeper.Spend(askForAll(limit), 1, time.Now())
			time.Sleep(time.Minute)
			grant := keeper.Spend(askForAll(limit, charge{urgent, 1000}, charge{urgent, 100}, charge{urgent, 100}), 1, time.Now())
			Expect(grant.Waits).To(Equal([]time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond}))
		})
	})

	It("grants what is ahead while it is overdrawn by what was spent on other accounts", func() {
		spectest.Bubble(func() {
			keeper := flooded(limit, flood...)
			ask := askForAll(limit, flood...)
			ask.Settled = 2000
			Expect(keeper.Spend(ask, 1, time.Now()).Level).To(BeNumerically("<", -1000))
			refused := 0
			for range 100 {
				time.Sleep(10 * time.Millisecond)
				grant := keeper.Spend(askForAll(limit, flood...), 1, time.Now())
				Expect(grant.Waits[2]).NotTo(BeZero())
				if grant.Waits[1] != 0 || grant.Waits[3] != 0 {
					refused++
				}
			}
			Expect(refused).To(BeNumerically("<=", 1))
		})
	})

	It("applies a lower limit at once", func() {
		spectest.Bubble(func() {
			keeper := flooded(limit, flood...)
			lower := askForAll(customers.Limit{PerSecond: 300, Burst: 50}, flood...)
			lower.Version = 2
			spent, refused := 0.0, 0
			for range 100 {
				grant := keeper.Spend(lower, 1, time.Now())
				Expect(grant.Thresholds).To(HaveEach(BeNumerically("<", 37.51)), "within the burst, so that all classes can be granted")
				for i, wait := range grant.Waits {
					if wait == 0 {
						spent += lower.Costs[i]
					}
				}
				if grant.Waits[1] != 0 {
					refused++
				}
				time.Sleep(10 * time.Millisecond)
			}
			Expect(spent).To(BeNumerically("<=", 50+300+30))
			Expect(refused).To(BeZero(), "plain requests")
		})
	})
})

var _ = Describe("The classes of a SpendRequest", func() {
	limit := customers.Limit{PerSecond: 1000, Burst: 1000}

	DescribeTable("that can't be used leave the costs without classes, and nothing is lost", func(classes string, valid bool) {
		spectest.Bubble(func() {
			keeper := customers.NewKeeper(strict)
			message := `{"customer":"c","scope":"fleet","limit":{"PerSecond":1000,"Burst":1000},"version":1,"costs":[5,7],"classes":` + classes + `}`
			var ask customers.SpendRequest
			Expect(json.Unmarshal([]byte(message), &ask)).To(Succeed())
			Expect(ask.Classes.Valid(len(ask.Costs))).To(Equal(valid))
			grant := keeper.Spend(ask, 1, time.Now())
			Expect(grant.Waits).To(Equal([]time.Duration{0, 0}))
			Expect(grant.Level).To(BeNumerically("~", 100-12, 0.01))
		})
	},
		Entry("absent", `null`, true),
		Entry("of another type", `"lm"`, false),
		Entry("with an urgency of another type", `{"classes":[{"service":"lm","urgency":"high"}],"of":[0,0]}`, false),
		Entry("with a negative urgency", `{"classes":[{"service":"lm","urgency":-1}],"of":[0,0]}`, false),
		Entry("with a huge urgency", `{"classes":[{"service":"lm","urgency":1e30}],"of":[0,0]}`, false),
		Entry("with a long name", `{"classes":[{"service":"`+strings.Repeat("x", 300)+`"}],"of":[0,0]}`, false),
		Entry("for fewer costs", `{"classes":[{"service":"lm"}],"of":[0]}`, false),
		Entry("with indexes out of range", `{"classes":[{"service":"lm"}],"of":[-1,7]}`, true),
		Entry("with more unasked costs than classes", `{"classes":[{"service":"lm"}],"of":[0,0],"unasked":[1,2]}`, false),
		Entry("with unasked costs that are negative or huge", `{"classes":[{"service":"lm"},{"service":"b"}],"of":[0,0],"unasked":[-1e300,1e300]}`, true),
		Entry("with fields of a later build", `{"classes":[{"service":"lm","pace":3}],"of":[0,0],"later":{}}`, true),
	)

	It("are bounded, by dropping those that are asked for least", func() {
		spectest.Bubble(func() {
			keeper := customers.NewKeeper(strict)
			for n := range 1000 {
				time.Sleep(time.Millisecond)
				keeper.Spend(askForAll(limit, charge{customers.Class{Service: fmt.Sprint(n)}, 1}, charge{urgent, 3}), 1, time.Now())
			}
			Expect(keeper.Spend(askForAll(limit, charge{urgent, 3}), 1, time.Now()).Thresholds).To(HaveLen(1))
		})
	})

	It("add nothing to an account with a negative cost", func() {
		spectest.Bubble(func() {
			keeper := customers.NewKeeper(strict)
			Expect(keeper.Spend(askForAll(limit, charge{urgent, -1e9}), 1, time.Now()).Level).To(BeNumerically("~", 100, 0.01))
		})
	})
})
