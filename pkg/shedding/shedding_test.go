package shedding_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/shedding"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestShedding(t *testing.T) { spectest.Run(t, "Shedding") }

var _ = Describe("a controller", func() {
	observe := func(c *shedding.Controller, times int, s shedding.Sample) {
		for range times {
			c.Observe(s)
		}
	}
	late, inTime := 200*time.Millisecond, time.Millisecond

	It("sheds more while the box falls behind with far more requests than the others, and none once it has caught up", func() {
		c := &shedding.Controller{Policy: shedding.DefaultPolicy}
		observe(c, 5, shedding.Sample{Lag: late, InFlight: 90, Others: 60, Boxes: 7})
		Expect(c.Share()).To(BeNumerically(">", 0.5))
		observe(c, 20, shedding.Sample{Lag: late, InFlight: 90, Others: 60, Boxes: 7})
		Expect(c.Share()).To(Equal(shedding.DefaultPolicy.MaxShare))
		observe(c, 40, shedding.Sample{Lag: inTime, InFlight: 10, Others: 60, Boxes: 7})
		Expect(c.Share()).To(BeZero())
	})

	DescribeTable("sheds nothing", func(s shedding.Sample) {
		c := &shedding.Controller{Policy: shedding.DefaultPolicy}
		observe(c, 50, s)
		Expect(c.Sheds()).To(BeFalse())
	},
		Entry("while the box is in time", shedding.Sample{Lag: inTime, InFlight: 90, Others: 60, Boxes: 7}),
		Entry("while all boxes are as busy", shedding.Sample{Lag: late, InFlight: 90, Others: 540, Boxes: 7}),
		Entry("while few requests are in flight", shedding.Sample{Lag: late, InFlight: 5, Others: 0, Boxes: 7}),
		Entry("if there is no other box", shedding.Sample{Lag: late, InFlight: 90, Others: 0, Boxes: 1}),
	)

	It("sheds while its link is full and it has far more requests than the others", func() {
		c := &shedding.Controller{Policy: shedding.DefaultPolicy}
		observe(c, 10, shedding.Sample{LinkUse: 0.95, InFlight: 90, Others: 60, Boxes: 7})
		Expect(c.Share()).To(Equal(shedding.DefaultPolicy.MaxShare))
		observe(c, 40, shedding.Sample{LinkUse: 0.3, InFlight: 90, Others: 60, Boxes: 7})
		Expect(c.Share()).To(BeZero())
	})

	It("sheds nothing for a single pause of the process", func() {
		c := &shedding.Controller{Policy: shedding.DefaultPolicy}
		observe(c, 10, shedding.Sample{Lag: inTime, InFlight: 90, Others: 60, Boxes: 7})
		observe(c, 1, shedding.Sample{Lag: 2 * shedding.DefaultPolicy.MaxLag, InFlight: 90, Others: 60, Boxes: 7})
		Expect(c.Share()).To(BeZero())
	})

	It("spreads the share evenly over connections", func() {
		c := &shedding.Controller{Policy: shedding.DefaultPolicy}
		observe(c, 4, shedding.Sample{Lag: late, InFlight: 90, Others: 60, Boxes: 7})
		closed := 0
		for range 1000 {
			if c.Sheds() {
				closed++
			}
		}
		Expect(float64(closed)).To(BeNumerically("~", 1000*c.Share(), 1))
	})
})

// replay is a box that works off requests at a rate, before which a balancer puts most connections of a fleet.
type replay struct {
	// capacity and arrivals are in requests a second.
	capacity, arrivals float64
	boxes              int
	// decide returns what becomes of a new connection: it is taken, refused after it was read, or closed unread.
	decide func(c *shedding.Controller, backlog float64) string
}

// run returns how many requests were served in time at the first attempt that a box read, of all, in a flood of 10 s.
func (r replay) run() (served, all int) {
	const step, deadline = 0.25, 1.0
	c := &shedding.Controller{Policy: shedding.DefaultPolicy}
	backlog, others := 0.0, make([]float64, r.boxes-1)
	for n := range 40 {
		lag := time.Duration(backlog / r.capacity * float64(time.Second) / 2)
		busy := 0.0
		for i := range others {
			busy += others[i]
			others[i] = max(0, others[i]-r.capacity*step)
		}
		c.Observe(shedding.Sample{Lag: lag, InFlight: int(backlog), Others: int(busy), Boxes: r.boxes})
		backlog = max(0, backlog-r.capacity*step)
		for k := range int(r.arrivals * step) {
			all++
			switch r.decide(c, backlog) {
			case "taken":
				if backlog/r.capacity < deadline {
					served++
				}
				backlog++
			case "unread":
				other := &others[(n+k)%len(others)]
				if *other/r.capacity < deadline {
					served++
				}
				*other++
			}
		}
	}
	return served, all
}

var _ = Describe("ways to treat the connections of a flood", func() {
	ways := map[string]func(*shedding.Controller, float64) string{
		"taken": func(*shedding.Controller, float64) string { return "taken" },
		"refused": func(c *shedding.Controller, _ float64) string {
			if c.Sheds() {
				return "refused"
			}
			return "taken"
		},
		"unread": func(c *shedding.Controller, _ float64) string {
			if c.Sheds() {
				return "unread"
			}
			return "taken"
		},
	}

	It("serve most requests at the first attempt that was read if connections are closed unread", func() {
		shares := map[string]float64{}
		for name, decide := range ways {
			served, all := replay{capacity: 100, arrivals: 400, boxes: 7, decide: decide}.run()
			shares[name] = float64(served) / float64(all)
		}
		GinkgoWriter.Printf("served at the first attempt that was read: %v\n", shares)
		Expect(shares["unread"]).To(BeNumerically(">", 0.75))
		Expect(shares["taken"]).To(BeNumerically("<", 0.75))
		Expect(shares["refused"]).To(BeNumerically("<", 0.75))
	})
})
