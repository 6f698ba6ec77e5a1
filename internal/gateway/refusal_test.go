package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("a refusal", func() {
	DescribeTable("has the retry-after of its cause, or the expected time if that is longer",
		func(cause reason, expected, want time.Duration) {
			Expect(notRun(cause, expected)).To(Equal(&refusal{
				reason: cause, status: http.StatusServiceUnavailable, retryAfter: want}))
		},
		Entry("no configuration", reasonNoConfig, time.Duration(0), 500*time.Millisecond),
		Entry("full, room expected soon", reasonFull, 20*time.Millisecond, 150*time.Millisecond),
		Entry("full, room expected late", reasonFull, time.Second, time.Second),
		Entry("no attempt left", reasonAttempts, time.Duration(0), 300*time.Millisecond),
		Entry("no retry left", reasonBudget, time.Duration(0), 300*time.Millisecond),
		Entry("model loads", reasonNoModel, 2*time.Second, 2*time.Second),
		Entry("model with an unknown time", reasonNoModel, time.Duration(0), 50*time.Millisecond),
		Entry("any other", reasonNoUpstream, time.Duration(0), 50*time.Millisecond),
	)

	DescribeTable("has no Retry-After where the request may have run or has no route",
		func(refused *refusal, status int) {
			answer := httptest.NewRecorder()
			refused.write(answer)
			Expect(answer.Code).To(Equal(status))
			Expect(answer.Header()).NotTo(HaveKey("Retry-After"))
		},
		Entry("broken", mayHaveRun(reasonBroken), http.StatusBadGateway),
		Entry("too late", mayHaveRun(reasonTimeout), http.StatusGatewayTimeout),
		Entry("no route", noRoute(), http.StatusNotFound),
	)

	It("carries the retry-after in seconds, and its reason", func() {
		spectest.Bubble(func() {
			answer := httptest.NewRecorder()
			notRun(reasonFull, 1234*time.Millisecond).write(answer)
			Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(answer.Header().Get("Retry-After")).To(Equal("1.234"))
			Expect(answer.Body.String()).To(Equal("upstreams full\n"))
		})
	})
})

var _ = DescribeTable("a request for a route that the box does not know", func(age time.Duration, missing bool, status int) {
	f := newFixture(func(string, int) behavior { return succeeds }, 1)
	f.ListAge = func() time.Duration { return age }
	f.ConfigMissing = func() bool { return missing }
	got := f.ask(context.Background(), "r", "/unknown/x", "")
	Expect(got.Code).To(Equal(status))
	Expect(got.Header().Get("Retry-After") != "").To(Equal(status == http.StatusServiceUnavailable))
},
	Entry("is answered finally by a current copy", 100*time.Millisecond, false, http.StatusNotFound),
	Entry("is not answered finally by an old copy", 3*time.Second, false, http.StatusServiceUnavailable),
	Entry("is not answered finally by a copy that was never confirmed", -time.Nanosecond, false, http.StatusServiceUnavailable),
	Entry("is not answered finally while a newer configuration is on its way", 100*time.Millisecond, true, http.StatusServiceUnavailable),
)
