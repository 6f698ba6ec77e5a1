package transport_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
)

// longBytes is the length of a long answer, more than the buffers of its connection take.
const longBytes = 12 << 20

// wrappedListener accepts connections that are wrapped.
type wrappedListener struct{ net.Listener }

type wrappedConn struct{ net.Conn }

func (c wrappedConn) NetConn() net.Conn { return c.Conn }

func (l wrappedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return wrappedConn{wrappedConn{conn}}, err
}

var _ = Describe("an answer that a handler breaks off", func() {
	// ask sends a request in a version of HTTP and returns the error with which its connection ends.
	ask := func(version, path string) error {
		var server *httptest.Server
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "a part")
			_ = http.NewResponseController(w).Flush()
			switch r.URL.Path {
			case "/broken":
				panic(http.ErrAbortHandler)
			case "/closed":
				_ = server.Config.Close()
				<-r.Context().Done()
			case "/long":
				_, _ = io.WriteString(w, strings.Repeat("x", longBytes))
			}
		})
		server = httptest.NewUnstartedServer(handler)
		server.Listener = wrappedListener{server.Listener}
		transport.ResetAborted(server.Config)
		server.Start()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: h\r\nConnection: close\r\n\r\n", path, version)
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(conn)
		if err == nil {
			Expect(string(text)).To(ContainSubstring("a part"))
		}
		if path == "/long" {
			Expect(len(text)).To(BeNumerically(">", longBytes))
		}
		return err
	}

	It("ends with a reset in HTTP/1.0, where it has no length, also if its server is closed", func() {
		for range 20 {
			Expect(ask("HTTP/1.0", "/broken")).To(MatchError(syscall.ECONNRESET))
			Expect(ask("HTTP/1.0", "/closed")).To(MatchError(syscall.ECONNRESET))
		}
	})

	It("ends without a reset in HTTP/1.1, so that its caller keeps the part that was sent", func() {
		Expect(ask("HTTP/1.1", "/broken")).To(Succeed())
	})

	It("that is whole ends without a reset, and arrives", func() {
		for range 20 {
			Expect(ask("HTTP/1.0", "/whole")).To(Succeed())
			Expect(ask("HTTP/1.0", "/long")).To(Succeed())
		}
	})
})
