package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// Of 53 boxes beside a hall that was cut off, 11 found out in 5.5 s, and the others lost requests there.
var _ = Describe("what a box is told of halls out of reach", func() {
	const cut, own, third = "cut", "own", "third"
	list := []*fleet.State{{Upstream: &fleet.Upstream{Hall: cut}}, {Upstream: &fleet.Upstream{Hall: own}}}
	// told returns a box that heard from all halls and a second later got a message of a box of a hall.
	told := func(from string, losses fleet.HallLosses) *Exchange {
		e := exchangeWithCopy(1)
		e.Members.self.Hall, e.Reach = own, &fleet.Reach{}
		for _, hall := range []string{cut, own, third} {
			e.Reach.RecordContact(hall)
		}
		time.Sleep(time.Second)
		e.applyReach(message{From: Box{Name: "a", Hall: from}, LostHalls: losses})
		return e
	}
	losses := fleet.HallLosses{{Hall: cut, Age: 100 * time.Millisecond}}

	It("counts if a box of its own hall says so, as far as the next box", func() {
		spectest.Bubble(func() {
			relay := told(own, losses)
			Expect(relay.Reach.WithinReach(list)).To(Equal(list[1:]))
			member := told(own, relay.lostHalls())
			Expect(member.Reach.WithinReach(list)).To(Equal(list[1:]))
			Expect(member.lostHalls()).To(BeEmpty())
		})
	})

	It("counts for nothing if a box of another hall says so, which sees another part of the network", func() {
		spectest.Bubble(func() {
			Expect(told(third, losses).Reach.WithinReach(list)).To(Equal(list))
		})
	})

	It("ends with a message of a box in that hall, and is absent from messages of a box that reaches all", func() {
		spectest.Bubble(func() {
			e := told(own, losses)
			e.applyReach(message{From: Box{Name: "c", Hall: cut}})
			Expect(e.Reach.WithinReach(list)).To(Equal(list))
			Expect(asJSON(message{LostHalls: e.lostHalls()})).NotTo(ContainSubstring("lostHalls"))
		})
	})
})
