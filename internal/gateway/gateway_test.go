package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// refused reports whether a status promises that the request never ran.
func refused(status int) bool { return status == http.StatusServiceUnavailable }

var _ = Describe("a gateway", func() {
	It("runs a request that may run once at most once, and never one that it answered with 503", func() {
		spectest.Bubble(func() {
			for seed := range uint64(40) {
				random := rand.New(rand.NewPCG(seed, 3))
				f := newFixture(func(string, int) behavior { return behavior(random.IntN(int(behaviorCount))) }, 1)
				for n := range 20 {
					id := fmt.Sprint(seed, "-", n)
					path, model := "/once/x", ""
					if n%2 == 0 {
						path, model = "/strict/x", "m"
					}
					got := f.ask(context.Background(), id, path, model)
					Expect(f.upstreams.runs[id]).To(BeNumerically("<=", 1), id)
					if refused(got.Code) {
						Expect(f.upstreams.runs[id]).To(BeZero(), id)
						Expect(got.Header().Get("Retry-After")).NotTo(BeEmpty())
					}
					if got.Code == http.StatusOK && !got.aborted {
						Expect(got.Body.String()).To(Or(Equal(plainBody), Equal(events(""))))
					}
				}
			}
		})
	})

	It("resumes streams without gaps or repeats, under the first upstream's head, or breaks them off", func() {
		spectest.Bubble(func() {
			for seed := range uint64(60) {
				random := rand.New(rand.NewPCG(seed, 4))
				f := newFixture(func(string, int) behavior { return behavior(random.IntN(int(behaviorCount))) }, 1)
				got := f.ask(context.Background(), "r", "/stream/x", "m")
				if got.Code != http.StatusOK {
					continue
				}
				if got.aborted {
					Expect(events("")).To(HavePrefix(got.Body.String()))
				} else {
					Expect(got.Body.String()).To(Equal(events("")))
				}
				Expect(f.upstreams.sentTo).To(ContainElement(got.Header().Get("Seal")))
			}
		})
	})

	It("sends a request again only within the route's attempts", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return brokenBeforeHead }, 1)
			got := f.ask(context.Background(), "r", "/safe/x", "")
			Expect(f.upstreams.runs["r"]).To(Equal(2))
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
		})
	})

	It("passes an upstream's failure on when no other one does better", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return fails }, 1)
			got := f.ask(context.Background(), "r", "/safe/x", "")
			Expect(got.Code).To(Equal(http.StatusInternalServerError))
			Expect(got.Header().Get("Seal")).To(Equal("s"))
			Expect(got.Body.String()).To(Equal("failed"))
		})
	})

	It("gives its final answer at the route's timeout, and passes the time that is left to upstreams", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return hangs }, 1)
			begun := time.Now()
			got := f.ask(context.Background(), "r", "/once/x", "")
			Expect(got.Code).To(Equal(http.StatusGatewayTimeout))
			Expect(time.Since(begun)).To(Equal(3 * time.Second))
			Expect(f.upstreams.timeLeft[0]).To(BeNumerically("<=", 3*time.Second))
		})
	})

	It("waits for a load whose end is known, and less long for one whose end is unknown", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			begun := time.Now()
			f.Ensure = func(context.Context, residency.Want) (residency.EnsureResult, error) {
				return residency.EnsureResult{ReadyIn: 500*time.Millisecond - time.Since(begun)}, residency.ErrNoCapacity
			}
			time.AfterFunc(500*time.Millisecond, func() {
				holdings := []fleet.Holding{{Model: "m"}, {Model: "nowhere"}}
				f.Directory.SetList(2, []fleet.Upstream{{ID: "e0", Service: "engines", Slots: 8, Revision: 2, Models: holdings}}, time.Time{})
			})
			Expect(f.ask(context.Background(), "r1", "/stream/x", "nowhere").Code).To(Equal(http.StatusOK))
			Expect(time.Since(begun)).To(BeNumerically("~", 500*time.Millisecond, 50*time.Millisecond))
			f.Ensure = func(context.Context, residency.Want) (residency.EnsureResult, error) {
				return residency.EnsureResult{}, residency.ErrNotHolder
			}
			begun = time.Now()
			Expect(f.ask(context.Background(), "r2", "/stream/x", "unknown").Code).To(Equal(http.StatusServiceUnavailable))
			Expect(time.Since(begun)).To(BeNumerically("<=", 176*time.Millisecond))
		})
	})

	It("refuses at once what no engine can hold in time, with a retry-after", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			begun := time.Now()
			got := f.ask(context.Background(), "r", "/stream/x", "nowhere")
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(got.Header().Get("Retry-After")).To(Equal("2.000"))
			Expect(time.Since(begun)).To(BeNumerically("<", 200*time.Millisecond))
		})
	})

	It("holds requests that arrive just after its start for a moment until the first configuration is in force", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			table := f.Table()
			f.table.Store(nil)
			f.configured = make(chan struct{})
			begun := time.Now()
			Expect(f.ask(context.Background(), "early", "/safe/x", "").Code).To(Equal(http.StatusServiceUnavailable))
			Expect(time.Since(begun)).To(Equal(firstTableWait))
			time.AfterFunc(150*time.Millisecond, func() { f.SetTable(table) })
			Expect(f.ask(context.Background(), "soon", "/safe/x", "").Code).To(Equal(http.StatusOK))
		})
	})

	It("answers 503, never 404, while it has no configuration", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			f.table.Store(nil)
			Expect(f.ask(context.Background(), "r", "/once/x", "").Code).To(Equal(http.StatusServiceUnavailable))
			Expect(f.ask(context.Background(), "r", "/nowhere/x", "").Code).To(Equal(http.StatusServiceUnavailable))
		})
	})

	It("never goes back to an older configuration", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			Expect(f.SetTable(routes.New(1, nil, nil, routes.Limits{}))).To(BeFalse())
			Expect(f.SetTable(routes.New(2, nil, nil, routes.Limits{}))).To(BeTrue())
			Expect(f.SetTable(routes.New(1, nil, nil, routes.Limits{}))).To(BeFalse())
			Expect(f.Table().Version).To(Equal(int64(2)))
		})
	})

	It("keeps retries within its share of the budget, whatever fails", func() {
		spectest.Bubble(func() {
			const boxes = 5
			f := newFixture(func(string, int) behavior { return brokenBeforeHead }, boxes)
			const requests = 400
			for n := range requests {
				f.ask(context.Background(), fmt.Sprint(n), "/safe/x", "")
			}
			total := 0
			for _, n := range f.upstreams.sends {
				total += n
			}
			Expect(total - requests).To(BeNumerically(">", 0))
			Expect(float64(total - requests)).To(BeNumerically("<=", 0.2*requests+50.0/boxes))
		})
	})

	It("does not count as a retry what never reached an upstream", func() {
		spectest.Bubble(func() {
			f := newFixture(func(_ string, n int) behavior {
				if n == 1 {
					return notSent
				}
				return succeeds
			}, 1000)
			for n := range 50 {
				Expect(f.ask(context.Background(), fmt.Sprint(n), "/once/x", "").Code).To(Equal(http.StatusOK))
				time.Sleep(time.Second) // The upstream that accepted no connection is tried again.
			}
		})
	})
})
