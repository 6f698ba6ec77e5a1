package routes_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestRoutes(t *testing.T) { spectest.Run(t, "Routes") }

var _ = Describe("a table", func() {
	table := routes.New(3, []routes.Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "short", Host: "A.example", PathPrefix: "/x/"},
	}, []routes.Service{{Name: "s", Engines: &routes.Engines{Models: []routes.Model{{Name: "m"}}}}}, routes.Limits{})

	DescribeTable("matches the longest prefix of the host", func(host, path, name string) {
		route := table.Match(host, path)
		if name == "" {
			Expect(route).To(BeNil())
			return
		}
		Expect(route.Name).To(Equal(name))
	},
		Entry("the longest", "a.example", "/x/y/z", "deep"),
		Entry("a shorter one", "a.example:80", "/x/yy", "short"),
		Entry("the host's case does not matter", "A.EXAMPLE", "/q", "all"),
		Entry("another host", "b.example", "/x/y/z", ""),
	)

	It("treats a negative urgency as the most urgent", func() {
		Expect(routes.New(1, []routes.Route{{Urgency: -3}}, nil, routes.Limits{}).Routes[0].Urgency).To(BeZero())
	})

	It("finds the models of its services", func() {
		Expect(table.Services["s"].Model("m")).NotTo(BeNil())
		Expect(table.Services["s"].Model("n")).To(BeNil())
	})
})

var _ = Describe("a route", func() {
	It("splits requests by weight and sends one request's attempts to one service", func() {
		route := routes.Route{Shares: []routes.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		counts := map[string]int{}
		for hash := range uint64(1000) {
			counts[route.PickService(hash)]++
			Expect(route.PickService(hash)).To(Equal(route.PickService(hash)))
		}
		Expect(counts).To(Equal(map[string]int{"a": 900, "b": 100}))
		Expect((&routes.Route{}).PickService(1)).To(BeEmpty())
	})

	It("reports which requests may run more than once", func() {
		Expect((&routes.Route{Kind: routes.Once}).Idempotent()).To(BeFalse())
		Expect((&routes.Route{Kind: routes.Repeatable}).Idempotent()).To(BeTrue())
		Expect((&routes.Route{Kind: routes.Stream}).Idempotent()).To(BeFalse())
		Expect((&routes.Route{Kind: routes.Stream, Resumable: true}).Idempotent()).To(BeTrue())
	})
})
