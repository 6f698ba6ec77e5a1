package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("an attempt whose answer broke", func() {
	// contents returns the logged content fingerprints of attempts under which upstreams crashed.
	contents := func(f *fixture, ids ...string) []any {
		core, lines := observer.New(zap.InfoLevel)
		f.Log = zap.New(core)
		for _, id := range ids {
			f.ask(context.Background(), id, "/once/x", "")
		}
		var list []any
		for _, line := range lines.FilterMessage("attempt failed").All() {
			if line.ContextMap()["crashed"] == true {
				list = append(list, line.ContextMap()["content"])
			}
		}
		return list
	}

	It("is logged with the request's content fingerprint if the upstream crashed, the same one under another request id", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return crashes }, 1)
			list := contents(f, "r1", "r2")
			Expect(list).To(HaveLen(2))
			Expect(list[0]).To(And(HaveLen(16), Equal(list[1])))
		})
	})

	It("is logged without the fingerprint if the upstream is alive", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return brokenBody }, 1)
			Expect(contents(f, "r1")).To(BeEmpty())
			Expect(f.upstreams.crashChecks).To(Equal(1))
		})
	})

	It("has its upstream checked once for all answers that broke at the same time", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return crashes }, 1)
			var asking sync.WaitGroup
			for n := range 20 {
				asking.Go(func() { f.ask(context.Background(), fmt.Sprint(n), fmt.Sprint("/once/", n), "") })
			}
			asking.Wait()
			Expect(f.upstreams.crashChecks).To(Equal(len(f.upstreams.crashed)))
		})
	})
})

var _ = DescribeTable("an answer that ends with its connection is complete if its upstream takes one after it",
	func(accepts bool, check func(context.Context, string) (bool, error), complete bool) {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			f.Upstreams.Accepts = func(context.Context, fleet.Upstream) bool { return accepts }
			f.Tunnels.Check = check
			answer := &Answer{EndsWithConnection: true, Body: io.NopCloser(strings.NewReader("text"))}
			f.confirmEnd(context.Background(), answer, fleet.Upstream{ID: "e0"})
			text, err := io.ReadAll(answer.Body)
			Expect(string(text)).To(Equal("text"))
			Expect(err == nil).To(Equal(complete))
		})
	},
	Entry("complete: it accepts", true, nil, true),
	Entry("complete: it accepts another box", false, func(context.Context, string) (bool, error) { return true, nil }, true),
	Entry("unconfirmed: it refuses, and no other box can be asked", false, none, false),
	Entry("unconfirmed: it refuses, and there is no other box", false, nil, false),
	Entry("unconfirmed: it refuses, and the box that is asked does not answer", false, silent, false),
	Entry("unconfirmed: it refuses another box as well", false, func(context.Context, string) (bool, error) { return false, nil }, false),
)

// none is the state of a fleet in which no box can be asked about an upstream.
func none(context.Context, string) (bool, error) { return false, ErrNoTunnel }

// silent is the state of a fleet in which the box that is asked is frozen.
func silent(ctx context.Context, _ string) (bool, error) {
	<-ctx.Done()
	return false, ErrNoTunnel
}

var _ = DescribeTable("an upstream that refuses connections after its answer broke has crashed or is out of reach",
	func(check func(context.Context, string) (bool, error), accepts func(context.Context, fleet.Upstream) bool, crashed bool) {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return crashes }, 1)
			f.Upstreams.Accepts, f.Tunnels.Check = accepts, check
			f.ask(context.Background(), "r", "/once/x", "")
			Expect(!f.Quarantine.Empty()).To(Equal(crashed))
		})
	},
	Entry("crashed: no box can be asked, and no other upstream can be tried", none, nil, true),
	Entry("crashed: no box can be asked, and others accept", none, func(context.Context, fleet.Upstream) bool { return true }, true),
	Entry("crashed: the box that is asked does not answer, and others accept", silent, func(ctx context.Context, _ fleet.Upstream) bool { return ctx.Err() == nil }, true),
	Entry("out of reach: no box can be asked, and others refuse as well", none, func(context.Context, fleet.Upstream) bool { return false }, false),
	Entry("crashed: it refuses another box", func(context.Context, string) (bool, error) { return false, nil }, nil, true),
	Entry("out of reach: it accepts another box", func(context.Context, string) (bool, error) { return true, nil }, nil, false),
)

var _ = Describe("an upstream behind lost links", func() {
	It("does not count as crashed if neither another box nor another upstream can be tried", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return crashes }, 1)
			f.Tunnels.Check = none
			f.Links.RecordFailure("p1")
			f.Links.RecordFailure("p2")
			f.Links.RecordCarried()
			Expect(f.Links.Lost()).To(BeTrue())
			Expect(f.refusesConnections(context.Background(), fleet.Upstream{ID: "p0"})).To(BeFalse())
		})
	})
})

var _ = Describe("a request under which upstreams crash one after the other", func() {
	It("is refused at once with a Retry-After, and reaches no upstream", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return crashes }, 1)
			core, lines := observer.New(zap.InfoLevel)
			f.Log = zap.New(core)
			Expect(f.ask(context.Background(), "r1", "/safe/x", "").Code).To(Equal(http.StatusServiceUnavailable))
			Expect(f.upstreams.sends["r1"]).To(Equal(2))
			time.Sleep(time.Second)
			begun := time.Now()
			got := f.ask(context.Background(), "r2", "/safe/x", "")
			Expect(time.Since(begun)).To(BeZero())
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(got.Header().Get("Retry-After")).To(Equal("29.000"))
			Expect(f.upstreams.sends["r2"]).To(BeZero())
			ended := lines.FilterMessage("request ended").All()
			fields := ended[len(ended)-1].ContextMap()
			Expect(fields["reason"]).To(Equal(string(reasonCrashes)))
			Expect(fields["held"]).To(BeTrue())
			Expect(fields["crashes"]).To(Equal(2))
			Expect(fields["crashedUpstreams"]).To(HaveLen(2))
			Expect(fields["knownFor"]).To(Equal(time.Second))
			Expect(fields["source"]).To(Equal("self"))
			By("while other requests are served")
			f.upstreams.choose = func(string, int) behavior { return succeeds }
			Expect(f.ask(context.Background(), "r3", "/safe/y", "").Code).To(Equal(http.StatusOK))
		})
	})

	It("is never reported as not run after it may have run, on a route that allows one run", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return crashes }, 1)
			for n := range 2 {
				Expect(f.ask(context.Background(), fmt.Sprint("r", n), "/once/x", "").Code).To(Equal(http.StatusBadGateway))
				time.Sleep(2 * time.Second)
			}
			Expect(f.ask(context.Background(), "r2", "/once/x", "").Code).To(Equal(http.StatusServiceUnavailable))
			Expect(f.upstreams.runs["r2"]).To(BeZero())
		})
	})

	It("is refused while it waits for an upstream as soon as another box reports the crashes", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			f.Ensure = func(context.Context, residency.Want) (residency.EnsureResult, error) {
				return residency.EnsureResult{ReadyIn: 500 * time.Millisecond}, residency.ErrNoCapacity
			}
			begun := time.Now()
			time.AfterFunc(100*time.Millisecond, func() {
				content := quarantine.Content{Method: http.MethodPost, Host: "h", URI: "/stream/x"}
				requests := []quarantine.Fingerprint{content.Fingerprint()}
				f.Quarantine.Merge(quarantine.Update{Crashes: []quarantine.CrashReport{
					{Upstream: "e8", Age: 100 * time.Millisecond, Requests: requests}, {Upstream: "e9", Requests: requests},
				}})
			})
			got := f.ask(context.Background(), "r", "/stream/x", "nowhere")
			Expect(got.Body.String()).To(ContainSubstring(string(reasonCrashes)))
			Expect(time.Since(begun)).To(BeNumerically("<=", 600*time.Millisecond))
		})
	})

	It("is cleared once an upstream has answered it completely", func() {
		spectest.Bubble(func() {
			next := crashes
			f := newFixture(func(string, int) behavior { return next }, 1)
			f.ask(context.Background(), "r0", "/once/x", "")
			next = succeeds
			Expect(f.ask(context.Background(), "r1", "/once/x", "").Code).To(Equal(http.StatusOK))
			next = crashes
			time.Sleep(2 * time.Second)
			f.ask(context.Background(), "r2", "/once/x", "")
			next = succeeds
			Expect(f.ask(context.Background(), "r3", "/once/x", "").Code).To(Equal(http.StatusOK))
		})
	})

	It("is not blamed for upstreams that crash when its caller has left", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return hangs }, 1)
			for n := range 3 {
				ctx, leave := context.WithTimeout(context.Background(), 100*time.Millisecond)
				f.ask(ctx, fmt.Sprint("r", n), "/safe/x", "")
				leave()
			}
			Expect(f.upstreams.crashChecks).To(BeZero())
			Expect(f.Quarantine.Empty()).To(BeTrue())
		})
	})
})
