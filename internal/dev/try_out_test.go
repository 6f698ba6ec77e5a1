package dev

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestDev(t *testing.T) { spectest.Run(t, "Dev") }

// refusalError returns the error of a refused request, with the time after which it may be retried.
func refusalError(outcome ospreymoorv1.Outcome, after time.Duration) error {
	err := connect.NewError(connect.CodeUnavailable, errors.New("target out of reach"))
	detail, detailErr := connect.NewErrorDetail(&ospreymoorv1.Refusal{Outcome: outcome, RetryAfter: durationpb.New(after)})
	Expect(detailErr).NotTo(HaveOccurred())
	err.AddDetail(detail)
	return err
}

var _ = Describe("an example request", func() {
	// sendRefused sends a request that is refused some times, and returns how often it was sent, what it reported,
	// the time that it took and how it ended.
	sendRefused := func(refusals int, refusal error) (sent int, report string, took time.Duration, err error) {
		spectest.Bubble(func() {
			var out strings.Builder
			start := time.Now()
			err = retryRefused(context.Background(), &out, func() error {
				if sent++; sent <= refusals {
					return refusal
				}
				return nil
			})
			report, took = out.String(), time.Since(start)
		})
		return sent, report, took, err
	}

	It("is retried after the time that its refusal gives, and prints that", func() {
		sent, report, took, err := sendRefused(2, refusalError(ospreymoorv1.Outcome_OUTCOME_NOT_RUN, 1286*time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
		Expect(sent).To(Equal(3))
		Expect(took).To(Equal(2572 * time.Millisecond))
		Expect(strings.Count(report, "refused, sent again in 1.286s")).To(Equal(2))
	})

	It("fails after five retries", func() {
		refusal := refusalError(ospreymoorv1.Outcome_OUTCOME_NOT_RUN, time.Second)
		sent, _, _, err := sendRefused(100, refusal)
		Expect(err).To(MatchError(refusal))
		Expect(sent).To(Equal(6))
	})

	DescribeTable("is not retried", func(err error) {
		sent, report, _, ended := sendRefused(100, err)
		Expect(sent).To(Equal(1))
		Expect(report).To(BeEmpty())
		Expect(ended).To(MatchError(err))
	},
		Entry("after a refusal without a retry time", refusalError(ospreymoorv1.Outcome_OUTCOME_NOT_RUN, 0)),
		Entry("after a refusal of a request that may have run", refusalError(ospreymoorv1.Outcome_OUTCOME_UNKNOWN, time.Second)),
		Entry("after another failure", errors.New("other")),
	)
})
