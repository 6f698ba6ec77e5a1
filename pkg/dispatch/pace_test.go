package dispatch_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// The load: a model that engines prefill seven times faster than others, with a quarter of all requests, at engines
// that two other models keep busy. Two prompts in three wait for prompts of other boxes.
var _ = Describe("the pace of a model", func() {
	const trueShare, overhead = 0.13, 15 * time.Millisecond
	prompt := func(model string) dispatch.Requirements {
		return dispatch.Requirements{Model: model, PromptTokens: 7_600, CacheTokens: 1_000_000}
	}
	short := func(tracker *dispatch.LoadTracker) {
		request := prompt("m")
		request.PromptTokens = 380
		serve(tracker, request, func(time.Duration) time.Duration { return overhead + 10*time.Millisecond })
	}
	// learn serves prompts of 200 ms at pace 1 by the only engine.
	learn := func(tracker *dispatch.LoadTracker, share float64, count int) {
		random := rand.New(rand.NewPCG(3, 3))
		for n := range count {
			serve(tracker, prompt("m"), func(time.Duration) time.Duration {
				first := overhead + time.Duration(share*float64(200*time.Millisecond))
				if n%3 != 0 {
					first += time.Duration(random.IntN(400)) * time.Millisecond
				}
				return first
			})
		}
	}
	reading := func(tracker *dispatch.LoadTracker, model string) time.Duration {
		choice, _ := (&dispatch.Chooser{Loads: tracker}).Choose(prompt(model), engines(1))
		return time.Duration(float64(choice.PrefillTime()) / choice.Factor())
	}

	It("is learned where most first tokens wait for prompts of other boxes", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			short(tracker)
			learn(tracker, trueShare, 20)
			Expect(reading(tracker, "m")).To(BeNumerically("~", 26*time.Millisecond, 10*time.Millisecond))
			Expect(reading(tracker, "other")).To(BeNumerically("~", 200*time.Millisecond, time.Microsecond))
		})
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			learn(tracker, 1, 20)
			Expect(reading(tracker, "m")).To(BeNumerically("~", 200*time.Millisecond, 30*time.Millisecond))
		})
	})

	It("is learned again when it changes, and stays within bounds", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			learn(tracker, trueShare, 20)
			learn(tracker, 1, 20)
			Expect(reading(tracker, "m")).To(BeNumerically("~", 200*time.Millisecond, 30*time.Millisecond))
			learn(tracker, 50, 20)
			Expect(reading(tracker, "m")).To(BeNumerically("~", 300*time.Millisecond, time.Microsecond))
			short(tracker)
			learn(tracker, 0, 20)
			Expect(reading(tracker, "m")).To(BeNumerically("~", 10*time.Millisecond, time.Millisecond))
		})
	})

	It("leaves what placement counts as demand to the mean, which settles", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			for range 300 {
				serve(tracker, prompt("m"), func(time.Duration) time.Duration { return 100 * time.Millisecond })
			}
			// The engine's factor has a part of the correction.
			Expect(tracker.EngineTime(prompt("m"), 7_600)).To(BeNumerically("~", 125*time.Millisecond, 25*time.Millisecond))
		})
	})

	It("does not apply to the prompts of other models at an engine", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			learn(tracker, trueShare, 20)
			chooser := &dispatch.Chooser{Loads: tracker}
			tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: 1, Prefill: [dispatch.UrgencyLevels]int{7_600}}}, time.Now())
			behindOther, _ := chooser.Choose(prompt("m"), engines(1))
			Expect(float64(behindOther.Wait) / behindOther.Factor()).To(BeNumerically(">", 200*time.Millisecond))
			tracker.SetRemoteLoads(nil, time.Now())
			fast, _ := chooser.Choose(prompt("m"), engines(1))
			ticket := tracker.Begin(fast, prompt("m"))
			other := prompt("other")
			other.GapTarget = 400 * time.Millisecond
			behindFast, _ := chooser.Choose(other, engines(1))
			Expect(behindFast.Wait).To(BeNumerically("<", 300*time.Millisecond))
			Expect(behindFast.Pause).To(BeNumerically("<", 300*time.Millisecond))
			ticket.End()
			Expect(tracker.Loads()).To(BeEmpty())
		})
	})
})
