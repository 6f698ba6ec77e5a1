// Package spectest runs a package's Ginkgo specs. For single specs it provides a synctest bubble with a
// simulated clock, and an in-memory network. Only tests use it.
package spectest

import (
	"os"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// suiteT is the Go test that runs the specs of this process. synctest.Test needs it.
var suiteT *testing.T

// knownRedVariable is the environment variable that lists known failing specs to skip: one regular expression
// per line, as .ci/run takes them from KNOWN-RED.txt.
const knownRedVariable = "KNOWN_RED_SPECS"

// Run runs all specs of a package as one Go test. It skips those that KNOWN_RED_SPECS lists.
func Run(t *testing.T, description string) {
	suiteT = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	for line := range strings.Lines(os.Getenv(knownRedVariable)) {
		suite.SkipStrings = append(suite.SkipStrings, strings.TrimSpace(line))
	}
	ginkgo.RunSpecs(t, description, suite, reporter)
}

// Bubble runs f in a synctest bubble, whose clock jumps ahead whenever all of its goroutines are blocked. A
// failed check in f fails the spec. So do goroutines that remain blocked after f; their stacks are written to
// the spec's output.
func Bubble(f func()) {
	defer func() {
		if deadlock := recover(); deadlock != nil {
			writeStacks()
			panic(deadlock)
		}
	}()
	synctest.Test(suiteT, func(*testing.T) {
		defer ginkgo.GinkgoRecover()
		f()
	})
}

// writeStacks writes the stacks of all goroutines to the spec's output.
func writeStacks() {
	const maxBytes = 1 << 20
	stacks := make([]byte, maxBytes)
	stacks = stacks[:runtime.Stack(stacks, true)]
	ginkgo.GinkgoWriter.Printf("%s\n", stacks)
}
