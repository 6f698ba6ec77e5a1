package requestlog_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/requestlog"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestRequestLog(t *testing.T) { spectest.Run(t, "Request log") }

func read(lines ...string) requestlog.Log {
	var log requestlog.Log
	Expect(log.Read(strings.NewReader(strings.Join(lines, "\n")))).To(Succeed())
	return log
}

var _ = Describe("a log of requests", func() {
	DescribeTable("shows how a request ended, and why it was not answered in time",
		func(fields string, outcome requestlog.Outcome, reason string) {
			log := read(`{"msg":"request ended","id":"r1",` + fields + `}`)
			Expect(log.Requests).To(HaveLen(1))
			Expect(log.Requests[0].Outcome).To(Equal(outcome))
			Expect(log.Requests[0].Reason).To(Equal(reason))
		},
		Entry("in time", `"status":200,"first":0.4,"target":0.4,"gap":0.25,"gapTarget":0.25`, requestlog.InTime, ""),
		Entry("without targets", `"status":200,"first":9,"gap":9`, requestlog.InTime, ""),
		Entry("a late first event", `"status":200,"first":0.41,"target":0.4,"gap":0.3,"gapTarget":0.25`, requestlog.LateFirst, "late first"),
		Entry("a long pause", `"status":200,"first":0.1,"target":0.4,"gap":0.26,"gapTarget":0.25`, requestlog.LatePause, "late pause"),
		Entry("a refusal", `"status":503,"reason":"upstreams full"`, requestlog.Refused, "upstreams full"),
		Entry("a customer over its quota", `"status":429,"reason":"over quota"`, requestlog.Refused, "over quota"),
		Entry("a key that nobody has", `"status":401,"reason":"unknown key"`, requestlog.Refused, "unknown key"),
		Entry("an upstream's own 429", `"status":429`, requestlog.Failed, "upstream's status Too Many Requests"),
		Entry("an upstream's failure", `"status":500`, requestlog.Failed, "upstream's status Internal Server Error"),
		Entry("a stream that broke", `"status":200,"error":"unexpected EOF"`, requestlog.Failed, "answer broken off"),
		Entry("a deadline that passed", `"status":504,"reason":"time is over"`, requestlog.Failed, "time is over"),
		Entry("a caller that left", `"status":499,"reason":"caller left"`, requestlog.CallerLeft, "caller left"),
	)

	It("names the customer", func() {
		Expect(read(`{"msg":"request ended","status":200,"customer":"acme"}`).Requests[0].Customer).To(Equal("acme"))
	})

	It("skips and counts lines that are not log lines", func() {
		log := read(`no log line`, ``, `{"half":`, `{}`, `12.3 box-1 {"msg":"request ended","id":"r1","status":200}`, `{"msg":"start"}`)
		Expect(log.Skipped).To(Equal(3))
		Expect(log.Lines).To(Equal(2))
		Expect(log.Requests).To(HaveLen(1))
	})

	It("fails on a line that is too long, and keeps what came before", func() {
		var log requestlog.Log
		err := log.Read(strings.NewReader(`{"msg":"request ended","status":200}` + "\n" + strings.Repeat("x", 2<<20)))
		Expect(err).To(MatchError(ContainSubstring("reading the log")))
		Expect(log.Requests).To(HaveLen(1))
	})
})

var _ = Describe("a tally of requests", func() {
	at := func(seconds int, model string, outcome requestlog.Outcome) requestlog.Request {
		return requestlog.Request{Ended: time.Unix(int64(seconds), 0), Model: model, Outcome: outcome}
	}
	requests := []requestlog.Request{
		at(12, "a", requestlog.InTime), at(10, "a", requestlog.LateFirst), at(11, "b", requestlog.Refused), at(13, "b", requestlog.Failed),
		at(13, "c", requestlog.CallerLeft), at(13, "", requestlog.Failed),
	}

	It("has the group with the most missed requests first, and no group without a name", func() {
		rows := requestlog.Tally(requests, func(r requestlog.Request) string { return r.Model })
		Expect(rows).To(HaveLen(3))
		Expect([]string{rows[0].Name, rows[1].Name, rows[2].Name}).To(Equal([]string{"b", "a", "c"}))
		Expect([]int{rows[0].Missed(), rows[1].Missed(), rows[2].Missed()}).To(Equal([]int{2, 1, 0}))
		Expect(rows[1].Total()).To(Equal(2))
	})

	It("selects a time span that is measured from the end of the first request", func() {
		Expect(requestlog.Span(requests, time.Second, 3*time.Second)).To(ConsistOf(requests[0], requests[2]))
		Expect(requestlog.Span(requests, 3*time.Second, 0)).To(HaveLen(3))
		Expect(requestlog.Span(nil, 0, 0)).To(BeEmpty())
	})
})
