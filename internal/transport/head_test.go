package transport_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
)

// startTextServer answers each request with the same bytes and closes its side of the connection. It returns its address.
func startTextServer(text string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, text)
				_ = conn.(*net.TCPConn).CloseWrite()
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// fetch sends a request and reads the whole answer.
func fetch(address string) (status int, header http.Header, body string, err error) {
	pooled := transport.New()
	defer pooled.CloseIdleConnections()
	response, err := transport.Sender(pooled.RoundTrip).Send(post(address))
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(text), err
}

// An upstream in trouble answered with status 000. net/http takes any three digits for a status, a sign too, and any version
// of the protocol.
var _ = Describe("the status line of an answer", func() {
	rest := "\r\nContent-Length: 4\r\n\r\ntext"

	DescribeTable("that is none breaks the answer", func(line string) {
		_, _, _, err := fetch(startTextServer(line + rest))
		Expect(err).To(MatchError(transport.ErrMalformed))
		Expect(err).NotTo(MatchError(transport.ErrNotSent))
	},
		Entry(nil, "HTTP/1.1 000 OK"),
		Entry(nil, "HTTP/1.1 000"),
		Entry(nil, "HTTP/1.1 001 OK"),
		Entry(nil, "HTTP/1.1 099 OK"),
		Entry(nil, "HTTP/1.1 101 Switching Protocols"),
		Entry(nil, "HTTP/1.1 600 OK"),
		Entry(nil, "HTTP/1.1 999 OK"),
		Entry(nil, "HTTP/1.1 2 0 OK"),
		Entry(nil, "HTTP/1.1 +20 OK"),
		Entry(nil, "HTTP/1.1 -20 OK"),
		Entry(nil, "HTTP/1.1 20 OK"),
		Entry(nil, "HTTP/1.1 2000 OK"),
		Entry(nil, "HTTP/1.1 200OK"),
		Entry(nil, "HTTP/1.1  200 OK"),
		Entry(nil, "HTTP/1.1\t200 OK"),
		Entry(nil, "HTTP/1.1"),
		Entry(nil, "HTTP/0.9 200 OK"),
		Entry(nil, "HTTP/2.0 200 OK"),
		Entry(nil, "http/1.1 200 OK"),
		Entry(nil, " HTTP/1.1 200 OK"),
		Entry(nil, ""),
		Entry(nil, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK"),
	)

	DescribeTable("that is odd and valid does not", func(line string, status int) {
		got, _, body, err := fetch(startTextServer(line + rest))
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(status))
		Expect(body).To(Equal("text"))
	},
		Entry(nil, "HTTP/1.1 200", 200),
		Entry(nil, "HTTP/1.1 200 ", 200),
		Entry(nil, "HTTP/1.0 200 OK", 200),
		Entry(nil, "HTTP/1.1 200 \xfc\tvery  well", 200),
		Entry(nil, "HTTP/1.1 299 OK", 299),
		Entry(nil, "HTTP/1.1 599 Failure", 599),
		Entry(nil, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK", 200),
	)

	It("is checked on each answer of a kept connection", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			for _, status := range []string{"200 OK", "201 Created", "000 OK"} {
				_, _ = conn.Read(make([]byte, 4096))
				for _, b := range []byte(fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 15\r\n\r\nHTTP/1.1 000 \r\n", status)) {
					_, _ = conn.Write([]byte{b})
				}
			}
			_, _ = conn.Read(make([]byte, 1))
		}()
		pooled := transport.New()
		DeferCleanup(pooled.CloseIdleConnections)
		for n, want := range []int{200, 201} {
			status, body, err := transport.Sender(pooled.RoundTrip).Call(post(listener.Addr().String()), 64)
			Expect(err).NotTo(HaveOccurred(), "answer %d", n)
			Expect(status).To(Equal(want))
			Expect(string(body)).To(Equal("HTTP/1.1 000 \r\n"))
		}
		_, _, err = transport.Sender(pooled.RoundTrip).Call(post(listener.Addr().String()), 64)
		Expect(err).To(MatchError(transport.ErrMalformed))
	})
})
