package requestlog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/requestlog"
)

var _ = Describe("a log of crashes", func() {
	It("shows under which content most upstreams crashed, whatever the request ids", func() {
		log := read(
			`{"ts":"2026-01-02T03:04:05Z","msg":"attempt failed","id":"r1","backend":"e1","crashed":true,"content":"aa"}`,
			`{"ts":"2026-01-02T03:04:06Z","msg":"attempt failed","id":"r1","backend":"e2","crashed":true,"content":"aa"}`,
			`{"ts":"2026-01-02T03:04:05Z","msg":"attempt failed","id":"r2","backend":"e1","crashed":true,"content":"bb"}`,
			`{"ts":"2026-01-02T03:04:07Z","msg":"attempt failed","id":"r3","backend":"e3","crashed":true,"content":"aa"}`,
			`{"ts":"2026-01-02T03:04:07Z","msg":"attempt failed","id":"r4","backend":"e3","content":"cc"}`,
			`{"ts":"2026-01-02T03:04:08Z","msg":"request ended","id":"r5","status":503,"reason":"x","content":"aa","held":true}`,
			`{"ts":"2026-01-02T03:04:08Z","msg":"request ended","id":"r6","status":503,"reason":"y","content":"aa","held":false}`,
		)
		rows := requestlog.TallyCrashes(log.Crashes, log.RefusedContents)
		Expect(rows).To(HaveLen(2))
		Expect(rows[0].Content).To(Equal("aa"))
		Expect([]int{rows[0].Upstreams, rows[0].Requests, rows[0].Refused}).To(Equal([]int{3, 2, 1}))
		Expect(rows[0].Last.Sub(rows[0].First).Seconds()).To(Equal(2.0))
		Expect([]int{rows[1].Upstreams, rows[1].Requests, rows[1].Refused}).To(Equal([]int{1, 1, 0}))
	})
})
