package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("the candidates of a request", func() {
	leaving := fleet.Upstream{ID: "leaving", Service: "s", Leaving: true, Models: []fleet.Holding{{Model: "m", Adapters: []string{"a"}}}}
	empty := fleet.Upstream{ID: "empty", Service: "s"}
	model := fleet.Upstream{ID: "model", Service: "s", Models: []fleet.Holding{{Model: "m"}}}
	both := fleet.Upstream{ID: "both", Service: "s", Models: []fleet.Holding{{Model: "m", Adapters: []string{"a"}}}}

	request := func(upstreams ...fleet.Upstream) *inflight {
		directory := fleet.New()
		directory.SetList(1, upstreams, time.Time{})
		need := dispatch.Requirements{Service: "s", Model: "m", Adapter: "a"}
		return &inflight{gateway: &Gateway{Directory: directory}, service: "s", need: need}
	}

	DescribeTable("are the upstreams that hold all it needs; if there are none, the best one gives the reason",
		func(want reason, upstreams ...fleet.Upstream) {
			list, lacking := request(upstreams...).candidates()
			Expect(lacking).To(Equal(want))
			Expect(list).To(HaveLen(map[bool]int{true: 1}[want == ""]))
		},
		Entry("no upstream", reasonNoUpstream),
		Entry("only a leaving one", reasonNoUpstream, leaving),
		Entry("none with the model", reasonNoModel, leaving, empty),
		Entry("none with the adapter", reasonNoAdapter, empty, model),
		Entry("one with both", reason(""), leaving, empty, model, both),
	)

	It("leave out upstreams that were tried or rejected such a request a moment ago", func() {
		spectest.Bubble(func() {
			r := request(both)
			r.gateway.Directory.MarkMissing("both", "m", "a")
			_, lacking := r.candidates()
			Expect(lacking).To(Equal(reasonUnreachable))
			r = request(both)
			r.attempts.upstreams = []string{"both"}
			_, lacking = r.candidates()
			Expect(lacking).To(Equal(reasonNoUpstream))
		})
	})

	It("of a plain service need not hold a model", func() {
		spectest.Bubble(func() {
			r := request(empty)
			r.need = dispatch.Requirements{Service: "s"}
			list, _ := r.candidates()
			Expect(list).To(HaveLen(1))
			r.gateway.Directory.MarkUnreachable("empty")
			_, lacking := r.candidates()
			Expect(lacking).To(Equal(reasonNoUpstream))
		})
	})
})
