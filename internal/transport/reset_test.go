package transport_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// earlyHead begins an answer that ends with its connection.
const earlyHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"

// upload sends a request with a body of a size, and reads the whole answer.
func upload(address string, size int) (text []byte, err error) {
	pooled := transport.New()
	defer pooled.CloseIdleConnections()
	response, err := transport.Sender(pooled.RoundTrip).Send(postOf(address, size))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

// longUpload is more than the socket buffers of both ends take, in bytes.
const longUpload = 16 << 20

// The kernel reports a reset once, to a write or to a read. After a write that failed, a read met a plain end, and the part
// of the answer that had arrived passed for a whole one.
var _ = Describe("an answer that ends with its connection", func() {
	const tries = 100

	DescribeTable("is broken if the connection is reset while the request is written", func(text string, pause time.Duration) {
		address := spectest.AnswerAll(text, spectest.ResetAfter(pause))
		whole := 0
		for range tries {
			if _, err := upload(address, longUpload); err == nil {
				whole++
			}
		}
		Expect(whole).To(BeZero(), "of %d", tries)
	},
		Entry("and a part of it has arrived", earlyHead+"part", 10*time.Millisecond),
		Entry("and a part of it arrives with the reset", earlyHead+"part", time.Duration(0)),
		Entry("and none of it has arrived", earlyHead, 10*time.Millisecond),
	)

	It("is whole if its server has closed the connection and then reads the rest of the request", func() {
		address := spectest.AnswerAll(earlyHead+"whole", spectest.CloseAnswer)
		for range tries / 10 {
			Expect(upload(address, longUpload)).To(BeEquivalentTo("whole"))
		}
	})

	It("is whole if its server has closed the connection after a short request", func() {
		address := spectest.AnswerAll(earlyHead+"whole", func(conn *net.TCPConn) {
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
			_, _ = io.Copy(io.Discard, conn) // A connection with unread bytes would be reset.
		})
		for range tries / 10 {
			Expect(upload(address, 1)).To(BeEquivalentTo("whole"))
		}
	})
})

// A server may answer before it has read the whole request, keep the connection and read on later. Where the rest of the body
// is due, it must not get another request.
var _ = Describe("a connection whose request was answered before it was written whole", func() {
	It("carries no other request", func() {
		const requests = 5
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		read := make(chan []byte, requests)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					_, _ = conn.Read(make([]byte, 64))
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
					time.Sleep(100 * time.Millisecond)
					rest, _ := io.ReadAll(conn)
					read <- rest
				}()
			}
		}()
		pooled := transport.New()
		for range requests {
			status, text, err := transport.Sender(pooled.RoundTrip).Call(postOf(listener.Addr().String(), longUpload), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(string(text)).To(Equal("early"))
		}
		pooled.CloseIdleConnections()
		for range requests {
			Expect(bytes.Count(<-read, []byte("POST "))).To(BeZero())
		}
	})
})

// postOf returns a request with a body of a size.
func postOf(address string, size int) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, size)))
	Expect(err).NotTo(HaveOccurred())
	return request
}
