package spectest

import (
	"context"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpectest(t *testing.T) { Run(t, "Spectest") }

var _ = Describe("a link's connection", func() {
	It("leaves no goroutine behind when the connection is refused", func() {
		Bubble(func() {
			network, link := &Network{}, NewLink(1e6)
			dial := link.Dial(network, func(string) *Link { return NewLink(1e6) })
			_, err := dial(context.Background(), "tcp", "nobody:1")
			Expect(err).To(MatchError(syscall.ECONNREFUSED))
		})
	})
})
