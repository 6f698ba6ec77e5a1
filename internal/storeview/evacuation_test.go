package storeview

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

var _ = Describe("records that evacuate halls", func() {
	newEvacuationFixture := func() *fixture {
		f := newFixture(kv.NewMemory().Store())
		f.config.Platform.EvacuationPrefix = "evacuate/"
		f.config.Metrics = metrics.NewSet()
		return f
	}

	It("evacuate their halls whatever their values, from the copy that has them until the first one without them", func() {
		f := newEvacuationFixture()
		for _, value := range []string{"{}", "", "[", "null", `{"zone":7}`} {
			f.applyState(stateOf(f.directory.Revision()+1, map[string]string{"servers/e1": "e1", "evacuate/": value}))
			Expect(f.directory.Get("e1").Evacuated).To(BeFalse(), "the empty name is no hall")
		}
		f.applyState(stateOf(f.directory.Revision()+1, map[string]string{"servers/e1": "e1", "evacuate/h1": "[", "evacuate/" + strings.Repeat("x", maxHallName+1): "{}"}))
		begun := f.logged.FilterMessage("halls evacuated: their upstreams get nothing new")
		Expect(begun.Len()).To(Equal(1))
		Expect(begun.All()[0].ContextMap()["halls"]).To(Equal([]any{"h1"}))
		Expect(f.evacuatedHalls.Load()).To(Equal(int64(1)))
		f.applyState(stateOf(f.directory.Revision()+1, map[string]string{"servers/e1": "e1"}))
		Expect(f.logged.FilterMessage("evacuation of halls ended").Len()).To(Equal(1))
		Expect(f.evacuatedHalls.Load()).To(BeZero())
	})

	It("are logged with a single warning when they leave no upstream", func() {
		f := newEvacuationFixture()
		f.config.Platform.DecodeUpstream = func(record kv.Record) (fleet.Upstream, error) {
			return fleet.Upstream{ID: string(record.Value), Service: "s", Hall: "h1", Revision: record.Revision}, nil
		}
		warning := "no upstream is left outside of evacuated halls: every request to one is refused until an evacuation ends"
		f.applyState(stateOf(1, map[string]string{"servers/e1": "e1", "evacuate/h2": "{}"}))
		Expect(f.logged.FilterMessage(warning).Len()).To(BeZero())
		for range 3 {
			f.applyState(stateOf(f.directory.Revision()+1, map[string]string{"servers/e1": "e1", "evacuate/h1": "{}"}))
		}
		Expect(f.logged.FilterMessage(warning).Len()).To(Equal(1))
	})
})
