package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// serve sends one request to the only engine. Its first token comes after firstToken of the predicted wait.
func serve(tracker *dispatch.LoadTracker, request dispatch.Requirements, firstToken func(predicted time.Duration) time.Duration) dispatch.Choice {
	chooser := &dispatch.Chooser{Loads: tracker, Hall: "z"}
	choice, ok := chooser.Choose(request, engines(1))
	Expect(ok).To(BeTrue())
	ticket := tracker.Begin(choice, request)
	time.Sleep(firstToken(choice.Wait))
	ticket.Started()
	ticket.End()
	return choice
}

var _ = Describe("predictions", func() {
	It("are corrected by observed first tokens, within bounds", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			// Without blocks no prefix is cached: the whole prompt of every request is prefilled.
			request := dispatch.Requirements{Model: "m", PromptTokens: 10_000, AnswerTokens: 10, CacheTokens: 1_000_000}
			late := func(predicted time.Duration) time.Duration { return 3 * predicted }
			first := serve(tracker, request, late)
			for range 200 {
				serve(tracker, request, late)
			}
			last := serve(tracker, request, late)
			// Both factors, of the model and of the upstream, have reached 1.5.
			Expect(last.Wait).To(BeNumerically(">", 2*first.Wait))
			Expect(last.Wait).To(BeNumerically("<", 2.3*float64(first.Wait)))
			Expect(tracker.EngineTime(request, 0)).To(Equal(time.Duration(1.5 * 10 * 150 * float64(time.Microsecond))))
		})
	})

	It("do not learn from requests with a very short predicted wait", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			request := dispatch.Requirements{Model: "m", PromptTokens: 1, AnswerTokens: 10, CacheTokens: 1_000_000}
			late := func(time.Duration) time.Duration { return time.Second }
			first := serve(tracker, request, late)
			Expect(serve(tracker, request, late).Wait).To(Equal(first.Wait))
		})
	})

	It("take the delay that a keeper answers in place of the reported prompts, within bounds", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			chooser := &dispatch.Chooser{Loads: tracker}
			request := dispatch.Requirements{Model: "m", PromptTokens: 3_800, CacheTokens: 1_000_000}
			tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: 1, Prefill: [dispatch.UrgencyLevels]int{38_000}}}, time.Now())
			choice, _ := chooser.Choose(request, engines(1))
			own := choice.OwnWait()
			Expect(choice.Wait).To(Equal(own + time.Second))
			for _, answered := range []time.Duration{0, -time.Hour} {
				choice.SetDelay(answered)
				Expect(choice.Wait).To(Equal(own))
			}
			choice.SetDelay(200 * time.Millisecond)
			Expect(choice.Wait).To(Equal(own + 200*time.Millisecond))
			choice.SetDelay(1 << 62)
			Expect(choice.Wait).To(Equal(own + 20*time.Second))
		})
	})

	It("count a full upstream as a long wait", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			chooser := &dispatch.Chooser{Loads: tracker, Hall: "z"}
			tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: 7}}, time.Now())
			free, _ := chooser.Choose(need("x"), engines(1))
			tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: 8}}, time.Now())
			full, _ := chooser.Choose(need("x"), engines(1))
			Expect(full.Wait - free.Wait).To(BeNumerically("~", 401*time.Millisecond, time.Millisecond))
			tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: 7, Tokens: 190_000}}, time.Now())
			outOfMemory, _ := chooser.Choose(need("x"), engines(1))
			Expect(outOfMemory.Wait - free.Wait).To(Equal(400 * time.Millisecond))
		})
	})

	It("derive the time until a slot is free from the run time of requests there", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			chooser := &dispatch.Chooser{Loads: tracker, Hall: "z"}
			request := need("x")
			choice, _ := chooser.Choose(request, engines(1))
			ticket := tracker.Begin(choice, request)
			ticket.Started()
			time.Sleep(2 * time.Second)
			ticket.End()
			wait := func(running int) time.Duration {
				tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: running}}, time.Now())
				choice, _ := chooser.Choose(request, engines(1))
				return choice.Wait
			}
			// With eight slots and requests of 2 s, one slot becomes free every 250 ms.
			Expect(wait(8) - wait(7)).To(BeNumerically("~", 250*time.Millisecond, 2*time.Millisecond))
			Expect(wait(11) - wait(7)).To(BeNumerically("~", time.Second, 10*time.Millisecond))
		})
	})

	It("include the pause of running streams, from all prompts that are not prefilled yet", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			chooser := &dispatch.Chooser{Loads: tracker, Hall: "z"}
			request := dispatch.Requirements{Model: "m", PromptTokens: 3_800, CacheTokens: 1_000_000, GapTarget: 200 * time.Millisecond, EventTokens: 6}
			choose := func(load dispatch.Load) dispatch.Choice {
				tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": load}, time.Now())
				choice, _ := chooser.Choose(request, engines(1))
				return choice
			}
			alone := choose(dispatch.Load{})
			Expect(alone.Pause).To(BeZero())
			Expect(alone.Crowded(request)).To(BeFalse())
			// Six steps of 5.02 ms, and 100 ms of prefill.
			few := choose(dispatch.Load{Running: 1})
			Expect(few.Pause).To(BeNumerically("~", 130*time.Millisecond, time.Millisecond))
			Expect(few.Crowded(request)).To(BeFalse())
			many := choose(dispatch.Load{Running: 1, Prefill: [dispatch.UrgencyLevels]int{0, 0, 1_900}})
			Expect(many.Pause).To(BeNumerically("~", 180*time.Millisecond, time.Millisecond))
			Expect(many.Crowded(request)).To(BeTrue())
			request.GapTarget = 0
			Expect(many.Crowded(request)).To(BeFalse())
		})
	})
})
