// Package spectest runs a package's specs, and single specs on a clock of their own. Only tests use
// it.
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

// suiteT is the Go test that runs the specs of this process; synctest needs it.
var suiteT *testing.T

// knownRedVariable is the environment variable that has the specs to pass over: one regular expression
// a line, as .ci/run takes them from KNOWN-RED.txt.
const knownRedVariable = "KNOWN_RED_SPECS"

// Run runs all specs of a package as one Go test, but for those known to be red.
func Run(t *testing.T, description string) {
	suiteT = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	for line := range strings.Lines(os.Getenv(knownRedVariable)) {
		suite.SkipStrings = append(suite.SkipStrings, strings.TrimSpace(line))
	}
	ginkgo.RunSpecs(t, description, suite, reporter)
}

// Bubble runs f in a synctest bubble, whose time passes at once while all of its goroutines wait. A
// failed check in f fails the spec. So do goroutines that remain, whose stacks the spec's output has.
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
	const most = 1 << 20
	stacks := make([]byte, most)
	stacks = stacks[:runtime.Stack(stacks, true)]
	ginkgo.GinkgoWriter.Printf("%s\n", stacks)
}
