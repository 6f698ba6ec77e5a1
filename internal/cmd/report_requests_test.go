package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/cmd"
)

const requestLines = `{"msg":"start","ts":"2026-12-02T10:00:00Z"}
{"msg":"request ended","ts":"2026-12-02T10:00:00Z","id":"r1","route":"chat","model":"m1","status":200,"first":0.1,"target":0.4}
{"msg":"request ended","ts":"2026-12-02T10:00:01Z","id":"r2","route":"chat","model":"m1","status":503,"reason":"upstreams full"}
no log line
{"msg":"request ended","ts":"2026-12-02T10:00:05Z","id":"r3","route":"tags","model":"m2","status":200,"first":0.5,"target":0.4}
`

var _ = Describe("the report of requests", func() {
	run := func(log string, args ...string) (code int, out, errs string) {
		file := filepath.Join(GinkgoT().TempDir(), "log")
		Expect(os.WriteFile(file, []byte(log), 0o600)).To(Succeed())
		var stdout, stderr bytes.Buffer
		code = cmd.Main(append([]string{"report", "requests", file}, args...), &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}

	It("counts by route, model, reason and second, and prints the error budget", func() {
		code, out, _ := run(requestLines)
		Expect(code).To(BeZero())
		Expect(out).To(ContainSubstring("3 requests of 4 log lines; 1 lines passed over"))
		Expect(out).To(MatchRegexp(`chat\s+2\s+1\s+0\s+0\s+1\s+0\s+0`))
		Expect(out).To(MatchRegexp(`m2\s+1\s+0\s+1\s+0\s+0\s+0\s+0`))
		Expect(out).To(MatchRegexp(`upstreams full\s+1\s+0\s+0\s+0\s+1`))
		Expect(out).To(MatchRegexp(`chat\s+50.0%\s+95.0%\s+-900.0%\s+10.0`))
	})

	It("counts only requests within the span", func() {
		code, out, _ := run(requestLines, "--from", "1s", "--to", "5s")
		Expect(code).To(BeZero())
		Expect(out).To(ContainSubstring("1 requests of 4 log lines"))
		Expect(out).NotTo(ContainSubstring("tags"))
	})

	It("draws a picture", func() {
		picture := filepath.Join(GinkgoT().TempDir(), "picture.svg")
		code, _, _ := run(requestLines, "--picture", picture)
		Expect(code).To(BeZero())
		text, err := os.ReadFile(picture)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(And(ContainSubstring("<svg"), ContainSubstring("late pause")))
	})

	It("exits with code 1 for an empty log and 2 for invalid flags", func() {
		code, _, errs := run("")
		Expect(code).To(Equal(1))
		Expect(errs).To(ContainSubstring("no request ended"))
		for _, bad := range [][]string{{"--objective", "1"}, {"--from", "-1s"}, {"--from", "3s", "--to", "2s"}, {"--to", "soon"}} {
			code, _, errs = run(requestLines, bad...)
			Expect(code).To(Equal(2), errs)
		}
	})
})
