package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestTransport(t *testing.T) { spectest.Run(t, "Transport") }

func post(address string) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", strings.NewReader("text"))
	Expect(err).NotTo(HaveOccurred())
	request.GetBody = nil
	return request
}

var _ = Describe("a request", func() {
	It("is known not to have been sent if no process listens", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = transport.Sender(transport.New().RoundTrip).Send(post(listener.Addr().String()))
		Expect(err).To(MatchError(transport.ErrNotSent))
	})

	It("may have been sent if the connection breaks without an answer", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		defer server.Close()
		_, err := transport.Sender(transport.New().RoundTrip).Send(post(server.Listener.Addr().String()))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(transport.ErrNotSent))
	})

	It("is not written if the check before its first byte fails, on a new connection or on a used one", func() {
		served := 0
		address, stop := startServer(func(*http.Request) { served++ }, nil)
		defer stop()
		pooled := transport.New()
		checks := 0
		send := func(failed error) error {
			ctx := transport.WithBeforeWrite(context.Background(), func() error { checks++; return failed })
			status, _, err := transport.Sender(pooled.RoundTrip).Call(post(address).WithContext(ctx), 1)
			Expect(status == http.StatusOK).To(Equal(err == nil))
			return err
		}
		leaves := errors.ConstError("leaves")
		for range 2 {
			err := send(leaves)
			Expect(err).To(MatchError(transport.ErrNotSent))
			Expect(err).To(MatchError(leaves))
			Expect(send(nil)).To(Succeed())
		}
		Expect(served).To(Equal(2))
		Expect(checks).To(Equal(4))
	})

	It("is discarded when it is canceled, so that the network does not deliver it later", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		ctx, cancel := context.WithCancel(context.Background())
		sendErr := make(chan error, 1)
		go func() {
			_, err := transport.Sender(transport.New().RoundTrip).Send(post(listener.Addr().String()).WithContext(ctx))
			sendErr <- err
		}()
		conn, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Expect(<-sendErr).To(HaveOccurred())
		_, err = io.ReadAll(conn)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	It("is known not to have been sent if its context had ended before", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		defer server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := transport.Sender(transport.New().RoundTrip).Send(post(server.Listener.Addr().String()).WithContext(ctx))
		Expect(err).To(MatchError(transport.ErrNotSent))
	})
})

var _ = Describe("a call", func() {
	It("reads the whole answer, and truncates one longer than allowed", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
		defer server.Close()
		send := transport.Sender(transport.New().RoundTrip)
		status, body, err := send.Call(post(server.Listener.Addr().String()), 6)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(string(body)).To(Equal("answer"))
		status, body, err = send.Call(post(server.Listener.Addr().String()), 3)
		Expect(err).To(MatchError(transport.ErrTooLong))
		Expect(status).To(Equal(http.StatusOK))
		Expect(string(body)).To(Equal("ans"))
	})
})
