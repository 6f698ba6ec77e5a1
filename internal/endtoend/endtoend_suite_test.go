package endtoend

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// binary is the program under test, built once.
var binary string

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "End to end")
}

var _ = SynchronizedBeforeSuite(func() []byte {
	path, err := gexec.Build("ospreymoor.example/ospreymoor")
	Expect(err).NotTo(HaveOccurred())
	return []byte(path)
}, func(path []byte) { binary = string(path) })

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)
