package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("an upstream that does not answer", func() {
	It("is unresponsive after several failures in a row over a while, until one succeeds", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			Expect(tracker.Unresponsive("e0")).To(BeFalse())
			for range 5 {
				tracker.RecordOutcome("e0", false)
			}
			Expect(tracker.Unresponsive("e0")).To(BeFalse())
			time.Sleep(300 * time.Millisecond)
			Expect(tracker.Unresponsive("e0")).To(BeFalse())
			tracker.RecordOutcome("e0", false)
			Expect(tracker.Unresponsive("e0")).To(BeTrue())
			tracker.RecordOutcome("e0", true)
			Expect(tracker.Unresponsive("e0")).To(BeFalse())
		})
	})

	It("is unresponsive for peers that merged the failures, until none came for a while", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			failures := dispatch.Observations{Outcomes: map[string]dispatch.Outcomes{"e0": {Failed: 2}}}
			tracker.MergeObservations(failures)
			time.Sleep(300 * time.Millisecond)
			tracker.MergeObservations(failures)
			Expect(tracker.Unresponsive("e0")).To(BeTrue())
			time.Sleep(4*time.Second - time.Millisecond)
			Expect(tracker.Unresponsive("e0")).To(BeTrue())
			time.Sleep(time.Millisecond)
			Expect(tracker.Unresponsive("e0")).To(BeFalse())
		})
	})
})
