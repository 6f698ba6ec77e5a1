package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/cmd"
)

var _ = Describe("the report of crashes", func() {
	run := func(log string) (code int, out, errs string) {
		file := filepath.Join(GinkgoT().TempDir(), "log")
		Expect(os.WriteFile(file, []byte(log), 0o600)).To(Succeed())
		var stdout, stderr bytes.Buffer
		code = cmd.Main([]string{"report", "crashes", file}, &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}

	It("lists first the content under which most upstreams crashed", func() {
		code, out, _ := run(`{"msg":"attempt failed","ts":"2026-12-02T10:00:00Z","id":"r1","backend":"e1","crashed":true,"content":"bb"}
{"msg":"attempt failed","ts":"2026-12-02T10:00:00Z","id":"r2","backend":"e1","crashed":true,"content":"aa"}
{"msg":"attempt failed","ts":"2026-12-02T10:00:01.5Z","id":"r3","backend":"e2","crashed":true,"content":"aa"}
`)
		Expect(code).To(BeZero())
		Expect(out).To(MatchRegexp(`aa\s+2\s+2\s+0\s+2026-12-02T10:00:00Z\s+1.5s\s+bb\s+1\s+1\s+0`))
	})

	It("lists first the part of prompts under which most upstreams crashed, of several the one with the fewest answers", func() {
		code, out, _ := run(`{"msg":"attempt failed","ts":"2026-12-02T10:00:00Z","id":"r1","backend":"e1","crashed":true,"content":"aa","parts":["p1","p2"]}
{"msg":"attempt failed","ts":"2026-12-02T10:00:00Z","id":"r2","backend":"e1","crashed":true,"content":"bb","parts":["p1","p3"]}
{"msg":"attempt failed","ts":"2026-12-02T10:00:01.5Z","id":"r3","backend":"e2","crashed":true,"content":"cc","parts":["p1","p2"]}
{"msg":"request ended","id":"r4","status":200,"parts":["p1","p3"]}
`)
		Expect(code).To(BeZero())
		Expect(out).To(MatchRegexp(`ANSWERED.*\s+p2\s+2\s+2\s+0\s+2026-12-02T10:00:00Z\s+1.5s\s+p1\s+2\s+3\s+1\s+2026-12-02T10:00:00Z\s+1.5s\s+p3\s+1\s+1\s+1`))
	})

	It("fails with a message if no upstream crashed", func() {
		code, _, errs := run(`{"msg":"start"}`)
		Expect(code).To(Equal(1))
		Expect(errs).To(ContainSubstring("no upstream crashed"))
	})
})
