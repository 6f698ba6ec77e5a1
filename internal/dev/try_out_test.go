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

// refused is the error of a request that is refused, with the time after which it may come back.
func refused(outcome ospreymoorv1.Outcome, after time.Duration) error {
	err := connect.NewError(connect.CodeUnavailable, errors.New("target out of reach"))
	detail, detailErr := connect.NewErrorDetail(&ospreymoorv1.Refusal{Outcome: outcome, RetryAfter: durationpb.New(after)})
	Expect(detailErr).NotTo(HaveOccurred())
	err.AddDetail(detail)
	return err
}

var _ = Describe("a request of the try-out", func() {
	// comesBack sends a request that is refused some times, and returns how often it was sent, what it reported,
	// the time that it took and how it ended.
	comesBack := func(refusals int, refusal error) (sent int, report string, took time.Duration, ended error) {
		spectest.Bubble(func() {
			var out strings.Builder
			begun := time.Now()
			ended = comeBack(context.Background(), &out, func() error {
				if sent++; sent <= refusals {
					return refusal
				}
				return nil
			})
			report, took = out.String(), time.Since(begun)
		})
		return sent, report, took, ended
	}

	It("comes back when its refusal says, and says so", func() {
		sent, report, took, err := comesBack(2, refused(ospreymoorv1.Outcome_OUTCOME_NOT_RUN, 1286*time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
		Expect(sent).To(Equal(3))
		Expect(took).To(Equal(2572 * time.Millisecond))
		Expect(strings.Count(report, "refused, sent again in 1.286s")).To(Equal(2))
	})

	It("gives up after a few times", func() {
		refusal := refused(ospreymoorv1.Outcome_OUTCOME_NOT_RUN, time.Second)
		sent, _, _, err := comesBack(100, refusal)
		Expect(err).To(MatchError(refusal))
		Expect(sent).To(Equal(6))
	})

	DescribeTable("does not come back", func(err error) {
		sent, report, _, ended := comesBack(100, err)
		Expect(sent).To(Equal(1))
		Expect(report).To(BeEmpty())
		Expect(ended).To(MatchError(err))
	},
		Entry("without a time", refused(ospreymoorv1.Outcome_OUTCOME_NOT_RUN, 0)),
		Entry("where it may have run", refused(ospreymoorv1.Outcome_OUTCOME_UNKNOWN, time.Second)),
		Entry("after another failure", errors.New("other")),
	)
})
