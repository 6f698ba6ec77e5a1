package gateway

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// honoredReturn returns the return of a caller that waits as told, but no longer than a third of its time left.
func honoredReturn(after, left time.Duration) time.Duration { return min(after, left/3) }

// returnLoad is a cause that refuses everything for a time, and the callers that it meets.
type returnLoad struct {
	lasts, target, deadline, refusedAfter time.Duration
	cause                                 reason
	stated                                time.Duration
}

// replay returns the share of returns that find the cause gone, if each caller returns once after what told says.
func (l returnLoad) replay(told func(returnQuestion) time.Duration) float64 {
	const callers = 200
	var served int
	var mu sync.Mutex
	var wait sync.WaitGroup
	start := time.Now()
	for n := range callers {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * l.lasts / callers)
			due := time.Now().Add(l.deadline)
			time.Sleep(l.refusedAfter)
			left := time.Until(due)
			question := returnQuestion{cause: l.cause, stated: l.stated, target: l.target, elapsed: l.refusedAfter, left: left}
			time.Sleep(honoredReturn(told(question), left))
			mu.Lock()
			defer mu.Unlock()
			if time.Since(start) >= l.lasts {
				served++
			}
		})
	}
	wait.Wait()
	return float64(served) / callers
}

func asStated(q returnQuestion) time.Duration { return q.stated }

var _ = Describe("the return of a refused caller", func() {
	DescribeTable("is served more often than one after the stated time",
		func(load returnLoad, stated, least float64) {
			spectest.Bubble(func() {
				Expect(load.replay(asStated)).To(BeNumerically("<=", stated))
				Expect(load.replay(returnQuestion.after)).To(BeNumerically(">=", least))
			})
		},
		Entry("failing engines, refused after the target", returnLoad{lasts: 4 * time.Second, target: 1200 * time.Millisecond,
			deadline: 15 * time.Second, refusedAfter: time.Second, cause: reasonBroken, stated: retrySoon}, 0.28, 0.8),
		Entry("failing engines, target within reach", returnLoad{lasts: 2 * time.Second, target: 1200 * time.Millisecond,
			deadline: 15 * time.Second, refusedAfter: 50 * time.Millisecond, cause: reasonBroken, stated: retrySoon}, 0.06, 0.19),
		Entry("plain upstreams gone", returnLoad{lasts: time.Second, target: 150 * time.Millisecond,
			deadline: time.Second, refusedAfter: 50 * time.Millisecond, cause: reasonNoUpstream, stated: retrySoon}, 0.11, 0.27),
	)

	It("does not come at once with those of others", func() {
		question := returnQuestion{cause: reasonBroken, stated: retrySoon, target: time.Second, elapsed: time.Second, left: 6 * time.Second}
		const callers, span = 200, 50 * time.Millisecond
		returns := map[time.Duration]int{}
		for range callers {
			returns[question.after().Truncate(span)]++
		}
		for at, count := range returns {
			Expect(count).To(BeNumerically("<=", callers/4), "%s", at)
		}
	})

	DescribeTable("keeps what is stated where nothing better is known",
		func(question returnQuestion) { Expect(question.after()).To(Equal(question.stated)) },
		Entry("no deadline", returnQuestion{cause: reasonBroken, stated: time.Second, target: time.Second}),
		Entry("deadline passed", returnQuestion{cause: reasonBroken, stated: time.Second, target: time.Second, left: -time.Second}),
		Entry("full engines", returnQuestion{cause: reasonFull, stated: 450 * time.Millisecond, target: 600 * time.Millisecond, left: 5 * time.Second}),
		Entry("a longer time is stated", returnQuestion{cause: reasonNoModel, stated: 5 * time.Second, target: time.Second, left: 4 * time.Second}),
		Entry("another box serves it", returnQuestion{cause: reasonStopping, stated: retrySoon, target: time.Second, left: 4 * time.Second}),
	)

	DescribeTable("stays within the caller's time, whatever it states",
		func(target, elapsed, left time.Duration) {
			question := returnQuestion{cause: reasonUnreachable, stated: retrySoon, target: target, elapsed: elapsed, left: left}
			Expect(question.after()).To(And(BeNumerically(">=", retrySoon), BeNumerically("<=", max(retrySoon, min(maxReturn, left/3)))))
		},
		Entry("no target", time.Duration(0), time.Second, time.Second),
		Entry("negative target", -time.Hour, time.Second, time.Second),
		Entry("huge target", time.Duration(math.MaxInt64), time.Second, 3*time.Second),
		Entry("huge deadline", time.Second, time.Duration(0), time.Duration(math.MaxInt64)),
		Entry("deadline at hand", time.Second, time.Second, time.Millisecond),
	)

	reporting := func(late bool) func() bool { return func() bool { return late } }
	DescribeTable("is stated to callers whose upstreams all fail",
		func(lateReturns func() bool, expected, tolerance float64) {
			spectest.Bubble(func() {
				f := newFixture(func(string, int) behavior { return brokenBeforeHead }, 1)
				f.LateReturns = lateReturns
				for n := range 20 {
					got := f.ask(context.Background(), fmt.Sprint("r", n), "/safe/x", "")
					Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
					wait, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
					Expect(err).NotTo(HaveOccurred())
					Expect(wait).To(BeNumerically("~", expected, tolerance))
				}
			})
		},
		// The target of 0.8 s leaves 0.6 s before the answer, and half of it passes.
		Entry("late where boxes exchange through relays", reporting(true), 0.27, 0.031),
		Entry("as before where they exchange directly", reporting(false), retrySoon.Seconds(), 0.0),
		Entry("as before where nobody says which", nil, retrySoon.Seconds(), 0.0),
	)
})
