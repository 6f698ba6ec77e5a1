package gateway

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("the retry rules", func() {
	once := &routes.Route{Kind: routes.Once, MaxAttempts: 2}
	repeatable := &routes.Route{Kind: routes.Repeatable, MaxAttempts: 2}

	request := func(route *routes.Route, sent attempts) *inflight {
		budget := newRetryBudget(RetryLimits{}, func() int { return 1 })
		budget.addRequest("s")
		return &inflight{gateway: &Gateway{budget: budget}, route: route, service: "s", attempts: sent}
	}

	DescribeTable("allow an attempt depending on the outcome of earlier ones",
		func(route *routes.Route, sent attempts, denied reason) {
			Expect(request(route, sent).takeAttempt()).To(Equal(denied))
		},
		Entry("the first one", once, attempts{}, reason("")),
		Entry("after one that was not executed", once, attempts{sent: 1, reached: 1}, reason("")),
		Entry("after one that may have run", repeatable, attempts{sent: 1, reached: 1, mayHaveRun: 1}, reason("")),
		Entry("after as many runs as the route allows", repeatable, attempts{sent: 2, reached: 2, mayHaveRun: 2}, reasonAttempts),
		Entry("without a limit of the route", &routes.Route{Kind: routes.Repeatable}, attempts{sent: 1, reached: 1, mayHaveRun: 1}, reasonAttempts),
		Entry("after four that were not executed", once, attempts{sent: 4, reached: 4}, reasonAttempts),
	)

	It("draw on the retry budget once an attempt has reached an upstream", func() {
		spectest.Bubble(func() {
			r := request(repeatable, attempts{sent: 1})
			Expect([]reason{r.takeAttempt(), r.takeAttempt()}).To(Equal([]reason{"", ""}))
			r.attempts.reached = 1
			Expect([]reason{r.takeAttempt(), r.takeAttempt()}).To(Equal([]reason{"", reasonBudget}))
		})
	})

	DescribeTable("allow a retry only of what did not run or may run more than once",
		func(route *routes.Route, err error, may bool) {
			Expect(request(route, attempts{}).mayRetry(err)).To(Equal(may))
		},
		Entry("once, not sent", once, ErrNotSent, true),
		Entry("once, not executed", once, errNotExecuted, true),
		Entry("once, broken", once, ErrBroken, false),
		Entry("repeatable, broken", repeatable, ErrBroken, true),
	)

	It("allow a failed answer to be replaced only where the request may run more than once", func() {
		spectest.Bubble(func() {
			Expect(request(repeatable, attempts{}).mayReplace(http.StatusInternalServerError)).To(BeTrue())
			Expect(request(repeatable, attempts{}).mayReplace(http.StatusBadRequest)).To(BeFalse())
			Expect(request(once, attempts{}).mayReplace(http.StatusInternalServerError)).To(BeFalse())
		})
	})

	DescribeTable("refuse depending on whether the request may have run",
		func(route *routes.Route, ran int, want *refusal) {
			Expect(request(route, attempts{sent: 1, mayHaveRun: ran}).deniedRefusal(reasonBudget, reasonBroken)).To(Equal(want))
		},
		Entry("never ran", once, 0, notRun(reasonBudget, 0)),
		Entry("ran, once only", once, 1, mayHaveRun(reasonBroken)),
		Entry("ran, may run again", repeatable, 1, notRun(reasonBroken, 0)),
	)

	It("refuse depending on how the context ended", func() {
		spectest.Bubble(func() {
			left, leave := context.WithCancel(context.Background())
			leave()
			late, stop := context.WithTimeout(context.Background(), 0)
			defer stop()
			Expect(request(repeatable, attempts{mayHaveRun: 1}).contextRefusal(left)).To(Equal(callerLeft()))
			Expect(request(repeatable, attempts{mayHaveRun: 1}).contextRefusal(late)).To(Equal(mayHaveRun(reasonTimeout)))
			Expect(request(repeatable, attempts{sent: 1}).contextRefusal(late)).To(Equal(notRun(reasonTimeout, 0)))
		})
	})
})
