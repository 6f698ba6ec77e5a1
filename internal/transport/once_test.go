package transport_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
)

// keptConns is how many connections are kept before the request that is looked at.
const keptConns = 3

// forgetfulServer answers the first request of each connection, and closes the connection once it has read the second. It
// answers none before a request has arrived on each of keptConns connections.
type forgetfulServer struct {
	address string
	opening sync.WaitGroup

	mu sync.Mutex
	// arrived counts the arrivals of each request, and keys has their Idempotency-Key headers.
	arrived map[string]int
	keys    map[string]string
}

func startForgetfulServer() *forgetfulServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	s := &forgetfulServer{address: listener.Addr().String(), arrived: map[string]int{}, keys: map[string]string{}}
	s.opening.Add(keptConns)
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, n < keptConns)
		}
	}()
	return s
}

// serve serves a connection. opening means that it is one of the first keptConns.
func (s *forgetfulServer) serve(conn net.Conn, opening bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		s.arrived[request.Header.Get("Id")]++
		s.keys[request.Header.Get("Id")] = request.Header.Get("Idempotency-Key") + request.Header.Get("X-Idempotency-Key")
		s.mu.Unlock()
		if n == 0 {
			if opening {
				s.opening.Done()
			}
			s.opening.Wait()
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	}
}

// net/http sends a request without a body again if its method or an Idempotency-Key header allows it by its own rules: a
// POST without a body, on a route whose requests run once, ran twice.
var _ = Describe("a request whose kept connection fails after it was sent", func() {
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "PURGE"} {
		for _, body := range []string{"", "text"} {
			for _, header := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
				It(fmt.Sprintf("is not sent again: %s, body %q, header %q", method, body, header), func() {
					server := startForgetfulServer()
					pooled := transport.New()
					send := func(id string) error {
						var reader io.Reader
						if body != "" {
							reader = strings.NewReader(body)
						}
						request, err := http.NewRequestWithContext(context.Background(), method, "http://"+server.address+"/", reader)
						Expect(err).NotTo(HaveOccurred())
						request.Header.Set("Id", id)
						if header != "" {
							request.Header.Set(header, "key of "+id)
						}
						response, err := transport.Sender(pooled.RoundTrip).Send(request)
						if err == nil {
							_ = response.Body.Close()
						}
						return err
					}
					var opening sync.WaitGroup
					for n := range keptConns {
						opening.Go(func() {
							defer GinkgoRecover()
							Expect(send(fmt.Sprint("first-", n))).To(Succeed())
						})
					}
					opening.Wait()
					err := send("second")
					Expect(err).To(HaveOccurred())
					Expect(err).NotTo(MatchError(transport.ErrNotSent))
					server.mu.Lock()
					defer server.mu.Unlock()
					Expect(server.arrived["second"]).To(Equal(1))
					if header != "" {
						Expect(server.keys["second"]).To(Equal("key of second"))
					}
				})
			}
		}
	}
})
