// Package spectest runs a package's specs, and single specs on a clock of their own. Only tests use
// it.
package spectest

import (
	"testing"
	"testing/synctest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// suiteT is the Go test that runs the specs of this process; synctest needs it.
var suiteT *testing.T

// Run runs all specs of a package as one Go test.
func Run(t *testing.T, description string) {
	suiteT = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, description)
}

// Bubble runs f in a synctest bubble, whose time passes at once while all of its goroutines wait. A
// failed check in f fails the spec.
func Bubble(f func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer ginkgo.GinkgoRecover()
		f()
	})
}
