package fleet

import (
	"encoding/json"
	"fmt"
	"math"
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

	It("goes by what another box of its hall does not reach, unless it heard from there since", func() {
		spectest.Bubble(func() {
			told := func(age time.Duration, relayed bool) *Reach {
				box := &Reach{}
				box.RecordContact("a")
				time.Sleep(time.Second)
				box.ApplyLosses(HallLosses{{Hall: "a", Age: age, Relayed: relayed}, {Hall: "nowhere", Age: age}})
				return box
			}
			box := told(500*time.Millisecond, false)
			Expect(box.WithinReach(both)).To(Equal(both[1:]))
			Expect(box.Losses()).To(Equal(HallLosses{{Hall: "a", Age: 500 * time.Millisecond, Relayed: true}}), "it passes on what it was told")
			relayed := told(500*time.Millisecond, true)
			Expect(relayed.WithinReach(both)).To(Equal(both[1:]))
			Expect(relayed.Losses()).To(BeEmpty(), "but not a second time")
			box.ApplyLosses(relayed.Losses())
			time.Sleep(outOfReachFor - 500*time.Millisecond)
			Expect(box.WithinReach(both)).To(Equal(both), "nor for longer than after the failure itself")
			Expect(told(time.Second, false).WithinReach(both)).To(Equal(both), "heard since")
			for _, bad := range []time.Duration{-1, outOfReachFor, math.MaxInt64, math.MinInt64} {
				Expect(told(bad, false).WithinReach(both)).To(Equal(both))
			}
		})
	})

	DescribeTable("loses nothing of a message with losses that cannot be read", func(text string, want int) {
		var read struct {
			Halls HallLosses `json:"lostHalls"`
			More  int
		}
		Expect(json.Unmarshal([]byte(`{"lostHalls":`+text+`,"more":5}`), &read)).To(Succeed())
		Expect(read.More).To(Equal(5))
		Expect(read.Halls).To(HaveLen(want))
	},
		Entry("one", `[{"hall":"a","age":5}]`, 1),
		Entry("none", `null`, 0),
		Entry("another type", `"a"`, 0),
		Entry("an age of another type", `[{"hall":"a","age":"long"}]`, 0),
		Entry("a huge age", `[{"hall":"a","age":1e300}]`, 0),
	)
})
