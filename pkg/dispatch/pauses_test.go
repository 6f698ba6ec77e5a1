package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("streams that pause for too long at an engine", func() {
	// The prefill of 12,000 tokens takes 316 ms, while the engine streams responses to other boxes.
	long := dispatch.Requirements{Service: "s", Model: "m", PromptTokens: 12_000, GapTarget: 500 * time.Millisecond, EventTokens: 6}
	streams := map[string]dispatch.Load{"e0": {Running: 3}, "e1": {Running: 3}}
	choose := func(tracker *dispatch.LoadTracker, need dispatch.Requirements) dispatch.Choice {
		tracker.SetRemoteLoads(streams, time.Now())
		choice, ok := (&dispatch.Chooser{Loads: tracker, Hall: "z"}).Choose(need, engines(2))
		Expect(ok).To(BeTrue())
		return choice
	}

	It("keep long prompts away from it, but not short ones", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			tracker.RecordPause("e0")
			tracker.RecordPause("e0")
			seen := map[string]bool{}
			for range 50 {
				Expect(choose(tracker, long).Upstream.ID).To(Equal("e1"))
				short := long
				short.PromptTokens = 600
				seen[choose(tracker, short).Upstream.ID] = true
			}
			Expect(seen).To(HaveLen(2))
		})
	})

	It("reduce its budget for prefill, which streams within their target slowly restore", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			budget := func() time.Duration {
				choice, _ := (&dispatch.Chooser{Loads: tracker, Hall: "z"}).Choose(long, engines(1))
				reservation, worthIt := choice.Reservation(long)
				Expect(worthIt).To(BeTrue())
				return reservation.Budget
			}
			before := budget()
			tracker.RecordPause("e0")
			Expect(budget()).To(BeNumerically("~", before-100*time.Millisecond, time.Millisecond))
			for range 350 {
				tracker.RecordOutcome("e0", true)
			}
			Expect(budget()).To(Equal(before))
		})
	})

	It("count on all boxes", func() {
		spectest.Bubble(func() {
			tracker, peer := dispatch.NewLoadTracker(), dispatch.NewLoadTracker()
			tracker.RecordPause("e0")
			peer.MergeObservations(tracker.TakeObservations())
			Expect(tracker.TakeObservations().Paused).To(BeEmpty())
			Expect(choose(peer, long).Upstream.ID).To(Equal("e1"))
		})
	})
})
