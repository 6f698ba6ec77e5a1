package transport_test

import (
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
)

// startEndlessServer answers each request with begin, and then with part over and over until the connection is closed. It
// returns its address and how much was written to a connection that was closed, in bytes.
func startEndlessServer(begin, part string) (address string, taken <-chan int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	closed := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetWriteBuffer(len(part))
		_, _ = conn.Read(make([]byte, 4096))
		written, err := conn.Write([]byte(begin))
		for err == nil {
			var n int
			n, err = conn.Write([]byte(part))
			written += n
		}
		closed <- written
	}()
	return listener.Addr().String(), closed
}

// A faulty server sent heads without end, of which 10 MB were taken for each request.
var _ = DescribeTable("the head of an answer without end ends its connection, and is told from other failures",
	func(begin, part string) {
		address, taken := startEndlessServer(begin, strings.Repeat(part, 8192/len(part)+1))
		_, err := transport.Sender(transport.New().RoundTrip).Send(post(address))
		Expect(err).To(MatchError(transport.ErrTooLong))
		Expect(err).NotTo(MatchError(transport.ErrNotSent))
		var bytes int
		Eventually(taken).WithTimeout(5 * time.Second).Should(Receive(&bytes))
		Expect(bytes).To(BeNumerically("<", 1<<20))
	},
	Entry("of lines", "HTTP/1.1 200 OK\r\n", "Filler: xxxxxxxx\r\n"),
	Entry("of one line", "HTTP/1.1 200 OK\r\nFiller: ", "x"),
	Entry("of informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
	Entry("of a status line", "HTTP/1.1 200 ", "x"),
)
