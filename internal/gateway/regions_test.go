package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("requests that may be served in some regions only", func() {
	// withRegions puts upstream n of each service into hall n. Halls 0 and 1 are in region "near", hall 2 is in
	// "far", and the region of hall 3 is unknown.
	withRegions := func(choose func(string, int) behavior, route, customer customers.Regions) *fixture {
		f := newFixture(choose, 1)
		f.Regions = map[string]string{"0": "near", "1": "near", "2": "far"}
		var list []fleet.Upstream
		for n := range 4 {
			for _, kind := range []string{"p", "e"} {
				entry := *f.Directory.Get(fmt.Sprint(kind, n)).Upstream
				entry.Hall, entry.Revision = fmt.Sprint(n), 2
				list = append(list, entry)
			}
		}
		f.Directory.SetList(2, list, time.Now())
		old := f.Table()
		table := make([]routes.Route, len(old.Routes))
		for i, r := range old.Routes {
			r.Regions = route
			table[i] = r
		}
		services := []routes.Service{{Name: "plain"}, {Name: "engines", Engines: old.Services["engines"].Engines}}
		next := routes.New(2, table, services, routes.Limits{})
		if customer != nil {
			next.Customers = customers.NewDirectory([]customers.Customer{
				{Name: "c", Keys: []customers.Digest{customers.DigestOf("key")}, Regions: customer},
			})
		}
		f.SetTable(next)
		return f
	}
	paths := []string{"/once/x", "/safe/x", "/stream/x", "/strict/x"}
	askAll := func(f *fixture, rounds int) (codes map[int]int) {
		codes = map[int]int{}
		for n := range rounds {
			for _, path := range paths {
				model := map[bool]string{true: "m"}[path == "/stream/x" || path == "/strict/x"]
				c := f.askWith(context.Background(), fmt.Sprint(path, n), path, model, "Bearer key")
				codes[c.Code]++
			}
		}
		return codes
	}

	DescribeTable("reach no upstream in another region: when first sent, retried, resumed or delayed", func(route, customer customers.Regions, allowed ...int) {
		spectest.Bubble(func() {
			attempts := 0
			f := withRegions(func(string, int) behavior {
				attempts++
				return []behavior{succeeds, brokenBody, refuses, fails, notSent, succeeds}[attempts%6]
			}, route, customer)
			askAll(f, 60)
			for n := range 4 {
				sent := f.upstreams.sendCount(fmt.Sprint("p", n)) + f.upstreams.sendCount(fmt.Sprint("e", n))
				if len(allowed) > 0 && (n == allowed[0] || n == allowed[len(allowed)-1]) {
					Expect(sent).To(BeNumerically(">", 0), "%d", n)
				} else {
					Expect(sent).To(BeZero(), "%d", n)
				}
			}
		})
	},
		Entry("by their route", customers.Regions{"near"}, nil, 0, 1),
		Entry("by their customer", nil, customers.Regions{"far"}, 2),
		Entry("by both, which have one in common", customers.Regions{"near", "far"}, customers.Regions{"far"}, 2),
		Entry("by both, which have none in common", customers.Regions{"near"}, customers.Regions{"far"}),
		Entry("of a region without halls", customers.Regions{"nowhere"}, nil),
	)

	It("are refused at once with the reason and a Retry-After if no upstream is left", func() {
		spectest.Bubble(func() {
			f := withRegions(func(string, int) behavior { return succeeds }, customers.Regions{"nowhere"}, nil)
			for _, path := range paths {
				begun := time.Now()
				got := f.ask(context.Background(), path, path, map[bool]string{true: "m"}[path == "/stream/x" || path == "/strict/x"])
				Expect(time.Since(begun)).To(BeZero())
				Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
				Expect(got.Body.String()).To(ContainSubstring(string(reasonRegion)))
				Expect(got.Header().Get("Retry-After")).NotTo(BeEmpty())
			}
		})
	})

	It("ask for a model in the halls that may serve them", func() {
		spectest.Bubble(func() {
			f := withRegions(func(string, int) behavior { return succeeds }, customers.Regions{"near"}, nil)
			var wanted residency.Want
			f.Ensure = func(_ context.Context, want residency.Want) (residency.EnsureResult, error) {
				wanted = want
				return residency.EnsureResult{ReadyIn: time.Hour}, residency.ErrNoCapacity
			}
			f.ask(context.Background(), "r", "/stream/x", "nowhere")
			Expect(wanted.Halls).To(Equal([]string{"0", "1"}))
		})
	})
})
