package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/routes"
)

var _ = Describe("the deadlines of a request", func() {
	arrived := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	at := func(span time.Duration) time.Time { return arrived.Add(span) }

	DescribeTable("are the earlier of the caller's and the route's, and a share of the target for the wait",
		func(route routes.Route, deadline, answer, upstream, load time.Time) {
			request := &Request{Arrived: arrived, Deadline: deadline}
			Expect(newDeadlines(&route, request)).To(Equal(deadlines{answer: answer, upstream: upstream, load: load}))
		},
		Entry("none", routes.Route{}, time.Time{}, time.Time{}, at(50*time.Millisecond), at(50*time.Millisecond)),
		Entry("the caller's", routes.Route{Timeout: 3 * time.Second, Target: time.Second}, at(time.Second), at(time.Second), at(220*time.Millisecond), at(800*time.Millisecond)),
		Entry("the route's", routes.Route{Timeout: 3 * time.Second, Target: time.Second}, at(4*time.Second), at(3*time.Second), at(220*time.Millisecond), at(800*time.Millisecond)),
		Entry("a short target", routes.Route{Target: 100 * time.Millisecond}, time.Time{}, time.Time{}, at(50*time.Millisecond), at(80*time.Millisecond)),
	)
})
