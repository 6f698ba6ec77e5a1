package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("observations", func() {
	It("show a peer which prompts an engine has cached, without each request's own part", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			choice, _ := (&dispatch.Chooser{Loads: tracker, Hall: "z"}).Choose(need("x"), engines(1))
			tracker.Begin(choice, need("x"))
			sent := tracker.TakeObservations().Prompts
			Expect(sent).To(HaveLen(1))
			Expect(sent[0].Blocks).To(HaveLen(2))

			peer := dispatch.NewLoadTracker()
			chooser := &dispatch.Chooser{Loads: peer, Hall: "z"}
			before, _ := chooser.Choose(need("y"), engines(1))
			Expect(before.Uncached).To(Equal(6500))
			peer.MergeObservations(dispatch.Observations{Prompts: sent})
			after, _ := chooser.Choose(need("y"), engines(1))
			Expect(after.Uncached).To(Equal(500))
		})
	})

	It("include a prompt that is sent to the same engine repeatedly only once per interval", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			send := func() int {
				choice, _ := (&dispatch.Chooser{Loads: tracker, Hall: "z"}).Choose(need("x"), engines(1))
				tracker.Begin(choice, need("x")).End()
				sent := tracker.TakeObservations().Prompts
				return len(sent)
			}
			Expect(send()).To(Equal(1))
			time.Sleep(4 * time.Second)
			Expect(send()).To(BeZero())
			time.Sleep(time.Second)
			Expect(send()).To(Equal(1))
		})
	})

	It("are returned only once", func() {
		spectest.Bubble(func() {
			tracker := dispatch.NewLoadTracker()
			tracker.RecordOutcome("e0", true)
			tracker.RecordOutcome("e0", false)
			outcomes := tracker.TakeObservations().Outcomes
			Expect(outcomes).To(Equal(map[string]dispatch.Outcomes{"e0": {Succeeded: 1, Failed: 1}}))
			again := tracker.TakeObservations()
			Expect(again.Prompts).To(BeEmpty())
			Expect(again.Outcomes).To(BeEmpty())
		})
	})
})
