package spectest

import (
	"context"
	"sync"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpectest(t *testing.T) { Run(t, "Spectest") }

var _ = Describe("a link", func() {
	It("transfers without delay and without a crash of the race detector's runtime, whose timers may not be due in a bubble", func() {
		Bubble(func() {
			link := NewLink(1e12)
			var receivers sync.WaitGroup
			for range 60 {
				receivers.Go(func() {
					for range 3000 {
						_ = link.Receive(context.Background(), 1)
					}
				})
			}
			receivers.Wait()
		})
	})
})

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
