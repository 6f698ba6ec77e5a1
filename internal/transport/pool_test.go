package transport_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
)

var _ = Describe("a pool of transports", func() {
	// A box calls each engine of a fleet once to learn what it holds. It has few file descriptors and little memory
	// for idle connections.
	It("bounds the idle connections to a large fleet, and keeps those used most recently", func() {
		var open atomic.Int64
		address, stop := startServer(func(*http.Request) {}, func(conn net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				open.Add(1)
			case http.StateClosed, http.StateHijacked:
				open.Add(-1)
			}
		})
		defer stop()
		var pool transport.Pool
		call := func(name string) {
			request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/", nil)
			Expect(err).NotTo(HaveOccurred())
			response, err := pool.Get(name).RoundTrip(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
		}
		for n := range 1200 {
			call(fmt.Sprint("engine ", n))
			call("busy")
		}
		Eventually(open.Load).Should(BeNumerically("<=", 513))
		busy := pool.Get("busy")
		call("another")
		Expect(pool.Get("busy")).To(BeIdenticalTo(busy))
		pool.Forget("busy")
		Expect(pool.Get("busy")).NotTo(BeIdenticalTo(busy))
	})
})

// startServer serves on loopback. It calls onRequest for each request and onState when a connection's state changes.
func startServer(onRequest func(*http.Request), onState func(net.Conn, http.ConnState)) (address string, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { onRequest(r) }), ConnState: onState}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }
}
