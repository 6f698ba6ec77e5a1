package cmd

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// reference matches a Go file named on a page, and the name of a declaration after it: `pkg/a/b.go`, `Name`.
var reference = regexp.MustCompile("`([a-z0-9_]+(?:/[a-z0-9_]+)+\\.go)`(?:, `([A-Za-z][A-Za-z0-9.]*)`)?")

var _ = Describe("The pages for readers", func() {
	for _, page := range []string{"ARCHITECTURE.md", "DECISIONS.md"} {
		It("name files, functions and types that exist: "+page, func() {
			text, err := os.ReadFile(filepath.Join("../../docs", page))
			Expect(err).NotTo(HaveOccurred())
			found := reference.FindAllStringSubmatch(string(text), -1)
			Expect(found).NotTo(BeEmpty())
			for _, match := range found {
				expectReference(match[1], match[2])
			}
		})
	}
})

// expectReference fails the spec unless the file exists and declares the name, which may be Type.Method.
func expectReference(file, name string) {
	GinkgoHelper()
	code, err := os.ReadFile(filepath.Join("../..", file))
	Expect(err).NotTo(HaveOccurred())
	if name == "" {
		return
	}
	base := regexp.QuoteMeta(name[strings.LastIndexByte(name, '.')+1:])
	declared := regexp.MustCompile(`(?m)^(func (\([^)]*\) )?|type |const |var |\t)` + base + `\b`)
	Expect(declared.MatchString(string(code))).To(BeTrue(), "%s declares no %s", file, name)
}
