package gateway

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("an outcome", func() {
	DescribeTable("shows whether the attempt reached its upstream and may have run",
		func(answer *Answer, err error, want outcome, counted attempts) {
			result := outcomeOf(context.Background(), answer, err)
			Expect(result).To(Equal(want))
			var got attempts
			got.count(result)
			Expect(got).To(Equal(counted))
		},
		Entry("not sent", nil, ErrNotSent, outcomeNotSent, attempts{}),
		Entry("broken", nil, ErrBroken, outcomeBroken, attempts{reached: 1, mayHaveRun: 1}),
		Entry("misdirected", &Answer{Status: http.StatusMisdirectedRequest, NotExecuted: true, Misdirected: true}, nil, outcomeMisdirected, attempts{reached: 1}),
		Entry("not executed", &Answer{Status: http.StatusServiceUnavailable, NotExecuted: true}, nil, outcomeNotExecuted, attempts{reached: 1}),
		Entry("failed", &Answer{Status: http.StatusInternalServerError}, nil, outcomeFailed, attempts{reached: 1, mayHaveRun: 1}),
		Entry("answered", &Answer{Status: http.StatusBadRequest}, nil, outcomeAnswered, attempts{reached: 1, mayHaveRun: 1}),
	)

	It("does not count against an upstream when the caller left, but does when the deadline passed", func() {
		spectest.Bubble(func() {
			left, leave := context.WithCancel(context.Background())
			leave()
			late, stop := context.WithTimeout(context.Background(), 0)
			defer stop()
			Expect(outcomeOf(left, nil, ErrBroken)).To(Equal(outcomeAbandoned))
			Expect(outcomeOf(late, nil, ErrBroken)).To(Equal(outcomeBroken))
		})
	})
})
