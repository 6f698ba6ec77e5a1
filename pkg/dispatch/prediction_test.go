package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// serve sends one request to the only engine and has its first token come after a time.
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
	It("follow the first tokens that came, within bounds", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			// Without blocks no prefix is cached: every request has to be read in full.
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
			Expect(tracker.Work(request, 0)).To(Equal(time.Duration(1.5 * 10 * 150 * float64(time.Microsecond))))
		})
	})

	It("leave out first tokens that were to come at once", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			request := dispatch.Requirements{Model: "m", PromptTokens: 1, AnswerTokens: 10, CacheTokens: 1_000_000}
			late := func(time.Duration) time.Duration { return time.Second }
			first := serve(tracker, request, late)
			Expect(serve(tracker, request, late).Wait).To(Equal(first.Wait))
		})
	})

	It("count a full upstream as a long wait", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			chooser := &dispatch.Chooser{Loads: tracker, Hall: "z"}
			tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: 7}})
			free, _ := chooser.Choose(need("x"), engines(1))
			tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: 8}})
			full, _ := chooser.Choose(need("x"), engines(1))
			Expect(full.Wait - free.Wait).To(BeNumerically("~", 401*time.Millisecond, time.Millisecond))
			tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: 7, Tokens: 190_000}})
			outOfMemory, _ := chooser.Choose(need("x"), engines(1))
			Expect(outOfMemory.Wait - free.Wait).To(Equal(400 * time.Millisecond))
		})
	})
})
