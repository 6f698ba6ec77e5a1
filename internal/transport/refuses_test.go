package transport_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
)

var _ = Describe("an address", func() {
	It("refuses connections once its process has ended, not while it runs or its host does not answer", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		Expect(transport.DialFunc(transport.Dial).Refuses(ctx, listener.Addr().String())).To(BeFalse())
		endedCtx, end := context.WithCancel(ctx)
		end()
		Expect(listener.Close()).To(Succeed())
		Expect(transport.DialFunc(transport.Dial).Refuses(endedCtx, listener.Addr().String())).To(BeFalse())
		Expect(transport.DialFunc(transport.Dial).Refuses(ctx, listener.Addr().String())).To(BeTrue())
	})
})
