package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// customersFixture returns a gateway whose configuration has two customers, one of them with a limit in tokens.
func customersFixture(choose func(id string, n int) behavior) *fixture {
	f := newFixture(choose, 1)
	urgent := 0
	limit := customers.Limit{Unit: customers.Tokens, PerSecond: 1000, Burst: 1000, PlainTokens: 20}
	directory := customers.NewDirectory([]customers.Customer{
		{Name: "acme", Keys: []customers.Digest{customers.DigestOf("k1")}, Urgency: &urgent, Limit: limit},
		{Name: "burr", Keys: []customers.Digest{customers.DigestOf("k2")}},
	})
	table := *f.Table()
	list := append([]routes.Route{}, table.Routes...)
	for i := range list {
		list[i].Urgency = 2
	}
	open := list[0]
	open.Name, open.PathPrefix, open.Public = "/open/", "/open/", true
	var services []routes.Service
	for _, service := range table.Services {
		services = append(services, *service)
	}
	next := routes.New(2, append(list, open), services, table.Limits)
	next.Customers = directory
	f.SetTable(next)
	return f
}

func (f *fixture) askWith(ctx context.Context, id, path, model string, authorization ...string) *caller {
	c := &caller{ResponseRecorder: httptest.NewRecorder()}
	request := &Request{
		ID: id, Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second), Method: http.MethodPost, URI: path, Path: path,
		Host: "h", Header: http.Header{}, Model: model, Credential: customers.ReadCredential(authorization),
	}
	if model != "" {
		request.PromptTokens, request.AnswerTokens = 200, 20
	}
	_ = f.Serve(ctx, c, request)
	return c
}

var _ = Describe("a request's customer", func() {
	DescribeTable("is identified by its key",
		func(path string, status int, body, customer string, authorization ...string) {
			f := customersFixture(func(string, int) behavior { return succeeds })
			got := f.askWith(context.Background(), "r", path, "", authorization...)
			Expect(got.Code).To(Equal(status))
			Expect(got.Body.String()).To(HavePrefix(body))
			if status != http.StatusOK {
				Expect(got.Header().Get("WWW-Authenticate")).To(Equal("Bearer"))
				Expect(got.Header()).NotTo(HaveKey("Retry-After"))
				Expect(f.upstreams.sends).To(BeEmpty())
				return
			}
			Expect(f.upstreams.customers).To(Equal([]string{customer}))
		},
		Entry("a key", "/once/x", 200, plainBody, "burr", "Bearer k2"),
		Entry("no key", "/once/x", 401, "no key", ""),
		Entry("two of them", "/once/x", 401, "key unreadable", "", "Bearer k1", "Bearer k2"),
		Entry("another scheme", "/once/x", 401, "key unreadable", "", "Basic k1"),
		Entry("a key that is empty", "/once/x", 401, "key unreadable", "", "Bearer "),
		Entry("a key over the bound", "/once/x", 401, "key unreadable", "", "Bearer "+strings.Repeat("x", 5000)),
		Entry("a key that nobody has", "/once/x", 401, "unknown key", "", "Bearer k3"),
		Entry("a public route without a key", "/open/x", 200, plainBody, ""),
		Entry("a public route with a key", "/open/x", 200, plainBody, "burr", "Bearer k2"),
		Entry("a public route with a key that nobody has", "/open/x", 200, plainBody, "", "Bearer k3"),
	)

	It("is not required where no route matches, nor before there is a configuration", func() {
		f := customersFixture(func(string, int) behavior { return succeeds })
		Expect(f.askWith(context.Background(), "r1", "/nowhere/", "").Code).To(Equal(http.StatusNotFound))
		f.table.Store(nil)
		Expect(f.askWith(context.Background(), "r2", "/once/x", "", "Bearer k3").Code).To(Equal(http.StatusServiceUnavailable))
	})

	It("sets the urgency, which overrides the route's", func() {
		f := customersFixture(func(string, int) behavior { return succeeds })
		f.askWith(context.Background(), "r1", "/once/x", "", "Bearer k1")
		f.askWith(context.Background(), "r2", "/once/x", "", "Bearer k2")
		Expect(f.upstreams.urgencies).To(Equal([]int{0, 2}))
	})

	It("is logged without its key", func() {
		f := customersFixture(func(string, int) behavior { return succeeds })
		core, lines := observer.New(zapcore.DebugLevel)
		f.Log = zap.New(core)
		for _, key := range []string{"Bearer k2", "Bearer very-secret", "very-secret"} {
			f.askWith(context.Background(), "r", "/once/x", "", key)
		}
		Expect(lines.Len()).To(Equal(3))
		Expect(lines.All()[0].ContextMap()).To(HaveKeyWithValue("customer", "burr"))
		for _, line := range lines.All() {
			Expect(fmt.Sprint(line.ContextMap())).NotTo(ContainSubstring("very-secret"))
		}
	})
})

var _ = Describe("a request's cost", func() {
	// quotas notes what is taken and returned.
	type quotas struct{ taken, returned []float64 }
	withQuotas := func(choose func(string, int) behavior, verdict customers.Verdict) (*fixture, *quotas) {
		f, q := customersFixture(choose), &quotas{}
		f.Quotas = Quotas{
			Take: func(customer *customers.Customer, _ int64, _ customers.Class, cost float64) customers.Verdict {
				Expect(customer.Name).To(Equal("acme"))
				q.taken = append(q.taken, cost)
				return verdict
			},
			Return: func(_ *customers.Customer, _ int64, cost float64) { q.returned = append(q.returned, cost) },
		}
		return f, q
	}
	granted := customers.Verdict{Granted: true, Scope: customers.FleetScope}

	It("is its tokens, or the fixed cost of a request without tokens, charged once however often it is sent", func() {
		f, q := withQuotas(func(_ string, n int) behavior {
			if n == 1 {
				return brokenBeforeHead
			}
			return succeeds
		}, granted)
		f.askWith(context.Background(), "r1", "/stream/x", "m", "Bearer k1")
		f.askWith(context.Background(), "r2", "/safe/x", "", "Bearer k1")
		f.askWith(context.Background(), "r3", "/safe/x", "", "Bearer k2")
		f.askWith(context.Background(), "r4", "/open/x", "")
		Expect(q.taken).To(Equal([]float64{220, 20}))
		Expect(q.returned).To(BeEmpty())
	})

	It("is charged in the class of its service and its route's urgency, also for a customer with an urgency of its own", func() {
		f, _ := withQuotas(func(string, int) behavior { return succeeds }, granted)
		core, lines := observer.New(zapcore.DebugLevel)
		f.Log = zap.New(core)
		var classes []customers.Class
		f.Quotas.Take = func(_ *customers.Customer, _ int64, class customers.Class, _ float64) customers.Verdict {
			classes = append(classes, class)
			return customers.Verdict{Granted: true, Scope: customers.FleetScope, Level: 9, Threshold: 4}
		}
		f.askWith(context.Background(), "r1", "/stream/x", "m", "Bearer k1")
		f.askWith(context.Background(), "r2", "/safe/x", "", "Bearer k1")
		Expect(classes).To(Equal([]customers.Class{{Service: "engines", Urgency: 2}, {Service: "plain", Urgency: 2}}))
		Expect(lines.All()[0].ContextMap()["quota"]).To(And(HaveKeyWithValue("level", 9.0), HaveKeyWithValue("threshold", 4.0)))
		count := fmt.Sprintf("ospreymoor_quota_class_requests_total{service=%q,urgency=\"2\",granted=\"true\"}", "engines")
		Expect(f.Metrics.GetOrCreateCounter(count).Get()).To(BeEquivalentTo(1))
	})

	It("over the quota is refused at once, with a Retry-After", func() {
		refused := customers.Verdict{RetryAfter: 1500 * time.Millisecond, Scope: customers.FleetScope}
		f, _ := withQuotas(func(string, int) behavior { return succeeds }, refused)
		got := f.askWith(context.Background(), "r", "/stream/x", "m", "Bearer k1")
		Expect(got.Code).To(Equal(http.StatusTooManyRequests))
		Expect(got.Header().Get("Retry-After")).To(Equal("1.500"))
		Expect(got.Body.String()).To(Equal("over quota\n"))
		Expect(f.upstreams.sends).To(BeEmpty())
	})

	It("has no Retry-After if it is more than the quota ever allows", func() {
		f, _ := withQuotas(func(string, int) behavior { return succeeds }, customers.Verdict{RetryAfter: customers.Never, Scope: customers.FleetScope})
		got := f.askWith(context.Background(), "r", "/stream/x", "m", "Bearer k1")
		Expect(got.Code).To(Equal(http.StatusTooManyRequests))
		Expect(got.Header()).NotTo(HaveKey("Retry-After"))
	})

	DescribeTable("is refunded only if no upstream can have run the request",
		func(path, model string, end behavior, returned bool) {
			spectest.Bubble(func() {
				f, q := withQuotas(func(string, int) behavior { return end }, granted)
				f.askWith(context.Background(), "r", path, model, "Bearer k1")
				Expect(q.taken).To(HaveLen(1))
				Expect(len(q.returned) == 1).To(Equal(returned))
			})
		},
		Entry("answered", "/once/x", "", succeeds, false),
		Entry("not sent", "/once/x", "", notSent, true),
		Entry("not executed", "/strict/x", "m", refuses, true),
		Entry("no engine has the model", "/stream/x", "nowhere", succeeds, true),
		Entry("failed", "/once/x", "", fails, false),
		Entry("broken", "/once/x", "", brokenBeforeHead, false),
		Entry("no answer by its deadline", "/once/x", "", hangs, false),
	)

	It("is not refunded if the caller left during an attempt", func() {
		spectest.Bubble(func() {
			f, q := withQuotas(func(string, int) behavior { return hangs }, granted)
			ctx, leave := context.WithTimeout(context.Background(), time.Hour)
			time.AfterFunc(100*time.Millisecond, leave)
			f.askWith(ctx, "r", "/once/x", "", "Bearer k1")
			Expect(q.returned).To(BeEmpty())
		})
	})
})
