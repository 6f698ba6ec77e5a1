package box

import (
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the transport for plain HTTP servers", func() {
	// A faulty server sent a head without end, of which 10 MB were taken.
	It("ends the connection of a head that is too long", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		taken := make(chan int, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Read(make([]byte, 4096))
			written, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
			for err == nil {
				var n int
				n, err = conn.Write([]byte(strings.Repeat("Filler: x\r\n", 1000)))
				written += n
			}
			taken <- written
		}()
		_, err = (&http.Client{Transport: httpTransport((&net.Dialer{}).DialContext)}).Get("http://" + listener.Addr().String())
		Expect(err).To(HaveOccurred())
		Expect(<-taken).To(BeNumerically("<", 6<<20))
	})
})
