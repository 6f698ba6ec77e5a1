package fleet

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("which halls a box reaches", func() {
	var reach *Reach
	var lost, regained []string
	BeforeEach(func() {
		lost, regained = nil, nil
		reach = &Reach{
			OnLost:     func(hall string) { lost = append(lost, hall) },
			OnRegained: func(hall string, _ time.Duration) { regained = append(regained, hall) },
		}
	})
	fail := func(hall string, upstreams int) {
		for n := range upstreams {
			reach.RecordFailure(hall, fmt.Sprint(hall, n))
		}
	}
	state := func(hall string) *State { return &State{Upstream: &Upstream{ID: hall + "-e", Hall: hall}} }
	both := []*State{state("a"), state("b")}

	It("leaves out a hall of which several upstreams failed and nothing was heard, while another has candidates", func() {
		spectest.Bubble(func() {
			fail("a", minLostUpstreams-1)
			Expect(reach.WithinReach(both)).To(HaveLen(2), "two may have crashed on their own")
			fail("a", 1)
			Expect(reach.WithinReach(both)).To(HaveLen(2), "one that fails again is no third one")
			fail("a", minLostUpstreams)
			Expect(reach.WithinReach(both)).To(Equal(both[1:]))
			Expect(reach.WithinReach(both[:1])).To(Equal(both[:1]), "the only one is tried all the same")
			fail("b", minLostUpstreams)
			Expect(reach.WithinReach(both)).To(Equal(both), "a box that reaches nothing tries all")
			Expect(reach.Lost()).To(Equal(2))
			Expect(lost).To(Equal([]string{"a", "b"}), "each is reported once")
		})
	})

	It("uses a hall again as soon as anything is heard from it, or a while after the latest failure", func() {
		spectest.Bubble(func() {
			fail("a", minLostUpstreams)
			reach.RecordContact("b")
			Expect(reach.WithinReach(both)).To(Equal(both[1:]))
			reach.RecordContact("a")
			Expect(reach.WithinReach(both)).To(HaveLen(2))
			Expect(regained).To(Equal([]string{"a"}))
			fail("a", minLostUpstreams)
			time.Sleep(outOfReachFor - time.Millisecond)
			fail("a", 1)
			time.Sleep(outOfReachFor - time.Millisecond)
			Expect(reach.WithinReach(both)).To(Equal(both[1:]))
			time.Sleep(time.Millisecond)
			Expect(reach.WithinReach(both)).To(HaveLen(2))
			Expect(reach.Lost()).To(BeZero())
		})
	})

	It("takes no hall for lost whose upstreams fail now and then, or fail and answer by turns", func() {
		spectest.Bubble(func() {
			for n := range 20 {
				fail("a", n%minLostUpstreams)
				reach.RecordContact("a")
				reach.RecordFailure("b", fmt.Sprint("b", n))
				time.Sleep(lossWindow*2/3 + time.Millisecond)
			}
			Expect(lost).To(BeEmpty())
		})
	})
})
