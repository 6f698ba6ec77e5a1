package cluster

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// relayOf returns the exchange of relay n00 of a large fleet, which has load on a number of upstreams.
func relayOf(upstreams int, linkBytesPerSecond float64) *Exchange {
	m := &mirror.Mirror{}
	members := largeFleet("n00")
	directory := fleet.New()
	controller := residency.New(residency.Config{Directory: directory, Term: func() (int64, error) { return 0, residency.ErrNotHolder }})
	e := NewExchange(Config{
		Members: members, Pending: NewPendingUpdates(), Mirror: m, Directory: directory, Controller: controller,
		Loads: dispatch.NewLoadTracker(), Demand: &residency.Demand{}, Log: zap.NewNop(), LinkBytesPerSecond: linkBytesPerSecond,
		ModelUses: func() []residency.ModelUse { return []residency.ModelUse{{Upstream: "e", Model: "m"}} },
		Leaving:   func() bool { return false },
	})
	for n := range upstreams {
		choice := dispatch.Choice{Upstream: &fleet.State{Upstream: &fleet.Upstream{ID: fmt.Sprintf("i-%010x", n*7919)}}}
		e.Loads.Begin(choice, dispatch.Requirements{Service: "s"})
	}
	return e
}

var _ = Describe("activity", func() {
	It("is sent with each exchange while it uses little of the link", func() {
		spectest.Bubble(func() {
			e := relayOf(64, 1e6)
			e.Members.report("n01", message{Scope: memberScope, Summary: &loadSummary{}})
			for range 5 {
				Expect(e.messageTo("n01", fleetScope).Summary.Loads).To(HaveLen(64))
				time.Sleep(memberInterval)
			}
		})
	})

	It("is sent less often if it would use more than its share, and then adds up what is pending", func() {
		spectest.Bubble(func() {
			const rate = 1e5
			e := relayOf(200, rate)
			for n := 1; n < 10; n++ {
				e.Members.report(fmt.Sprintf("n%02d", n), message{Scope: memberScope, Summary: &loadSummary{}})
			}
			bytes, outcomes := 0, 0
			targets := []target{{name: "n01"}}
			for range 100 {
				e.Loads.RecordOutcome("e", true)
				e.Pending.collect(e.Loads, targets)
				for n := 1; n < 10; n++ {
					name := fmt.Sprintf("n%02d", n)
					e.Members.report(name, message{Scope: memberScope, Summary: &loadSummary{}})
					sent := e.messageTo(name, fleetScope)
					if sent.Summary != nil {
						bytes += len(asJSON(sent))
					}
					outcomes += sent.Observations.Outcomes["e"].Succeeded
					time.Sleep(memberInterval / 9)
				}
			}
			span := 100 * memberInterval.Seconds()
			Expect(float64(bytes) / span).To(BeNumerically("<", 1.2*activityShare*rate))
			Expect(float64(bytes) / span).To(BeNumerically(">", 0.5*activityShare*rate))
			Expect(outcomes).To(BeNumerically(">", 90))
		})
	})

	It("is sent to all at once if that uses little of the link", func() {
		spectest.Bubble(func() {
			e := relayOf(64, 1e6)
			for _, name := range []string{"n01", "n02", "n03"} {
				Expect(e.messageTo(name, ownScope).Summary).NotTo(BeNil(), name)
			}
		})
	})

	It("is packed if it is long, for boxes that read it packed", func() {
		spectest.Bubble(func() {
			e := relayOf(600, 0)
			plain := e.messageTo("n01", fleetScope)
			Expect(plain.Summary.Loads).To(HaveLen(600))
			e.Members.report("n01", message{Scope: memberScope, Pieces: true, Summary: &loadSummary{}})
			packed := e.messageTo("n01", fleetScope)
			Expect(packed.Summary).To(BeNil())
			Expect(len(asJSON(packed))).To(BeNumerically("<", len(asJSON(plain))/2))
			Expect(packed.unpackActivity()).To(Succeed())
			Expect(packed.Summary).To(Equal(plain.Summary))
			broken := message{PackedActivity: []byte("nothing")}
			Expect(broken.unpackActivity()).To(MatchError(errBadBlob))
			Expect((&message{}).unpackActivity()).To(Succeed())
		})
	})

	It("includes uses of models only for the order holder and for relays", func() {
		spectest.Bubble(func() {
			e := relayOf(1, 0)
			Expect(e.messageTo("n01", fleetScope).Summary.Uses).To(BeEmpty())
			Expect(e.messageTo("n10", hallScope).Summary.Uses).To(HaveLen(1))
			e.Members.report("n01", message{OrderHolder: &orderHolder{Name: "n01", Address: "n01", Term: 3}, From: Box{Name: "n01"}})
			Expect(e.messageTo("n01", fleetScope).Summary.Uses).To(HaveLen(1))
		})
	})
})
