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
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
)

// surplusServer answers requests over HTTP/1.1. On the connections that surplus chooses, it sends its answer to the request
// before once more, in the place of the answer that is due, and runs the request until its connection ends.
type surplusServer struct {
	address string
	// head is the start of each answer, up to its id.
	head string
	// surplus reports whether the answer before comes in the place of that to a request.
	surplus func(connection, request int) bool
	// conns counts the connections.
	conns atomic.Int64

	mu sync.Mutex
	// misplaced are the requests that arrived on a connection after a surplus answer, and running those that are run.
	misplaced []string
	running   map[string]bool
}

func startSurplusServer(head string, surplus func(connection, request int) bool) *surplusServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	s := &surplusServer{address: listener.Addr().String(), head: head, surplus: surplus, running: map[string]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, int(s.conns.Add(1)))
		}
	}()
	return s
}

func (s *surplusServer) serve(conn net.Conn, connection int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	answerTo := func(id string) { _, _ = fmt.Fprintf(conn, "%sId: %s\r\n\r\n", s.head, id) }
	last := ""
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Id")
		if last != "" && s.surplus(connection, n) {
			s.setRunning(id, true)
			answerTo(last)
			if next, err := http.ReadRequest(reader); err == nil {
				s.mu.Lock()
				s.misplaced = append(s.misplaced, next.Header.Get("Id"))
				s.mu.Unlock()
			}
			s.setRunning(id, false)
			return
		}
		answerTo(id)
		last = id
	}
}

func (s *surplusServer) setRunning(id string, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id] = running
}

// runningCount returns how many requests are run whose slot a surplus answer took.
func (s *surplusServer) runningCount() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, running := range s.running {
		if running {
			count++
		}
	}
	return count
}

// errOther is the error of a sender that checks the ids of answers.
const errOther = errors.ConstError("answer of another request")

// checking returns a sender that rejects answers without the id of their request.
func checking(pooled *http.Transport) transport.Sender {
	return func(request *http.Request) (*http.Response, error) {
		response, err := pooled.RoundTrip(request)
		if err == nil && response.Header.Get("Id") != request.Header.Get("Id") {
			_ = response.Body.Close()
			return nil, errOther
		}
		return response, err
	}
}

func withID(address, method, id, body string) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+"/", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Id", id)
	return request
}

// An answer of another request, late and without a body, left its connection in the pool with the request under way on it.
var _ = Describe("an answer of another request", func() {
	DescribeTable("ends its connection, so that the server learns that nobody waits for the request",
		func(method, head string) {
			server := startSurplusServer(head, func(connection, request int) bool { return connection == 1 && request == 2 })
			send := checking(transport.New())
			ask := func(id string) error {
				response, err := send.Send(withID(server.address, method, id, ""))
				if err == nil {
					_ = response.Body.Close()
				}
				return err
			}
			Expect(ask("r1")).To(Succeed())
			Expect(ask("r2")).To(MatchError(errOther))
			Eventually(server.runningCount).WithTimeout(300 * time.Millisecond).WithPolling(5 * time.Millisecond).Should(BeZero())
			Expect(ask("r3")).To(Succeed())
			Expect(server.misplaced).To(BeEmpty())
			Expect(server.conns.Load()).To(BeEquivalentTo(2))
		},
		Entry("503 without a body", http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"),
		Entry("421 without a body", http.MethodPost, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"),
		Entry("204", http.MethodPost, "HTTP/1.1 204 No Content\r\n"),
		Entry("304", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n"),
		Entry("an answer to HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n"),
		Entry("an informational answer before it", http.MethodPost, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"),
	)

	It("takes no later request along, also one that has its connection already, which is sent on another one", func() {
		server := startSurplusServer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n",
			func(connection, request int) bool { return request == 2+connection%3 })
		send := checking(transport.New())
		var rejected, failed atomic.Int64
		var senders sync.WaitGroup
		for sender := range 16 {
			senders.Go(func() {
				for n := range 200 {
					response, err := send.Send(withID(server.address, http.MethodPost, fmt.Sprintf("%d-%d", sender, n), "text"))
					switch {
					case errors.Is(err, errOther):
						rejected.Add(1)
					case err != nil:
						failed.Add(1)
					default:
						_ = response.Body.Close()
					}
				}
			})
		}
		senders.Wait()
		Expect(rejected.Load()).To(BeNumerically(">", 500))
		Expect(failed.Load()).To(BeZero())
		Eventually(server.runningCount).WithTimeout(300 * time.Millisecond).Should(BeZero())
		server.mu.Lock()
		defer server.mu.Unlock()
		Expect(server.misplaced).To(BeEmpty())
	})
})
