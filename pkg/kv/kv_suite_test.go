package kv_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestKV(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "Key-value service")
}

// bubble runs f on a clock of its own.
func bubble(f func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}
