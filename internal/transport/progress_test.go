package transport_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
)

var _ = Describe("a call with timeouts", func() {
	const idle = 200 * time.Millisecond
	// slow returns a server that answers in parts, with a pause before each.
	slow := func(parts int, pause time.Duration) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for range parts {
				time.Sleep(pause)
				_, _ = w.Write([]byte("part "))
				_ = http.NewResponseController(w).Flush()
			}
		}))
	}
	call := func(server *httptest.Server, whole time.Duration) (string, time.Duration, error) {
		defer server.Close()
		begun := time.Now()
		timeouts := transport.Timeouts{First: idle, Idle: idle, Whole: whole}
		_, body, err := timeouts.Call(transport.New().RoundTrip, post(strings.TrimPrefix(server.URL, "http://")), 1<<20)
		return string(body), time.Since(begun), err
	}

	It("reads an answer that keeps arriving, however long it takes", func() {
		body, took, err := call(slow(10, idle/4), time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(strings.Repeat("part ", 10)))
		Expect(took).To(BeNumerically(">", idle))
	})

	It("fails if the answer does not begin, stalls, or takes too long as a whole", func() {
		_, took, err := call(slow(1, 3*idle), time.Minute)
		Expect(err).To(HaveOccurred())
		Expect(took).To(BeNumerically("<", 4*idle))
		_, _, err = call(slow(2, idle*9/10), idle)
		Expect(err).To(HaveOccurred())
		stops := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		_, took, err = call(stops, time.Minute)
		Expect(err).To(HaveOccurred())
		Expect(took).To(BeNumerically(">=", idle))
	})
})
