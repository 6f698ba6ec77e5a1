package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// ejectionTest checks for how long e0, the only upstream with free slots, is left out.
type ejectionTest struct {
	tracker *dispatch.LoadTracker
	chooser *dispatch.Chooser
}

func newEjectionTest() *ejectionTest {
	tracker := dispatch.NewLoadTracker()
	return &ejectionTest{tracker: tracker, chooser: &dispatch.Chooser{Loads: tracker, Hall: "z"}}
}

// fail records failures of e0 and as many successes of the others.
func (e *ejectionTest) fail(times int) {
	for range times {
		e.tracker.RecordOutcome("e0", false)
		for _, id := range []string{"e1", "e2", "e3"} {
			e.tracker.RecordOutcome(id, true)
		}
	}
}

func (e *ejectionTest) ejected() bool {
	full := dispatch.Load{Running: 8}
	e.tracker.SetRemoteLoads(map[string]dispatch.Load{"e1": full, "e2": full, "e3": full}, time.Now())
	choice, ok := e.chooser.Choose(dispatch.Requirements{Service: "s"}, engines(4))
	Expect(ok).To(BeTrue())
	return choice.Upstream.ID != "e0"
}

// expectEjectedFor checks that e0 is ejected now and for the given time, and no longer.
func (e *ejectionTest) expectEjectedFor(length time.Duration) {
	Expect(e.ejected()).To(BeTrue())
	time.Sleep(length - time.Millisecond)
	Expect(e.ejected()).To(BeTrue())
	time.Sleep(2 * time.Millisecond)
	Expect(e.ejected()).To(BeFalse())
}

var _ = Describe("outlier ejection", func() {
	It("doubles with each ejection up to its bound, and is short again after a while without failures", func() {
		spectest.Bubble(func() {
			e := newEjectionTest()
			for _, length := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
				e.fail(12)
				e.expectEjectedFor(length)
			}
			time.Sleep(10 * time.Second)
			e.fail(12)
			e.expectEjectedFor(2 * time.Second)
		})
	})

	It("needs several outcomes", func() {
		spectest.Bubble(func() {
			e := newEjectionTest()
			e.fail(3)
			Expect(e.ejected()).To(BeFalse())
			e.fail(1)
			Expect(e.ejected()).To(BeTrue())
		})
	})
})
