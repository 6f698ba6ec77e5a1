package spectest

import (
	"io"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// AnswerAll answers each request on a loopback address with the same bytes once its first ones have arrived, and ends the
// connection with end. It returns the address, which answers until the spec ends.
func AnswerAll(text string, end func(*net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 64))
				_, _ = io.WriteString(conn, text)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// CloseAnswer closes this side of a connection, as after a whole answer, and reads until the other side closes it.
func CloseAnswer(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// ResetAfter returns a function that has a connection reset when it is closed, a pause later.
func ResetAfter(pause time.Duration) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		time.Sleep(pause)
		_ = conn.SetLinger(0)
	}
}
