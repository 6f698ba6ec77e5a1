package box

import (
	"bufio"
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A caller that sends its body byte by byte", func() {
	It("is refused once the time for its body is over, while others are served", func() {
		withFleet(fleetSpec{halls: 1, boxes: 1, engines: 1, memory: 64 * gib}, func(t *testFleet) {
			b := t.boxes["h1-b1"]
			t.roll(b, bundleText(1, "a", "10GiB", "writer"))
			t.awaitModels("writer")
			conn, err := t.net.dialer("slow")(context.Background(), "tcp", b.address)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			begun := time.Now()
			head := "POST /services/portal/reports HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerToken +
				"\r\nRequest-Key: " + newKey() + "\r\nContent-Length: 1000\r\n\r\n"
			_, err = conn.Write([]byte(head + "slow"))
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
			Expect(time.Since(begun)).To(BeNumerically("<=", bodyReadTimeout+time.Second))
			t.awaitModels("writer")
		})
	})
})
