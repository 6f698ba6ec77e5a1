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
	// One box speaks with each engine of a fleet once, to learn what it holds, and has few descriptors and little memory.
	It("keeps no more connections of a large fleet than of a small one, and those in use", func() {
		var open atomic.Int64
		address, stop := answering(func(*http.Request) {}, func(conn net.Conn, state http.ConnState) {
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
		latest := pool.Get("busy")
		call("another")
		Expect(pool.Get("busy")).To(BeIdenticalTo(latest))
		pool.Forget("busy")
		Expect(pool.Get("busy")).NotTo(BeIdenticalTo(latest))
	})
})

// answering serves on loopback and notes each request and the states of connections.
func answering(note func(*http.Request), states func(net.Conn, http.ConnState)) (address string, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { note(r) }), ConnState: states}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }
}
