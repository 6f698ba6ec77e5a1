package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/routes"
)

var _ = Describe("a connection that is closed as idle", func() {
	It("drops a request that was read from it just before", func() {
		f := newFixture(func(string, int) behavior { return succeeds }, 1)
		f.SetTable(routes.New(100, nil, nil, routes.Limits{IdleTimeout: time.Second}))
		passedOn := 0
		front := NewFront(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passedOn++ }), f.Gateway)
		conn, other := net.Pipe()
		defer func() { _ = other.Close() }()
		request := func() *http.Request {
			r := httptest.NewRequest(http.MethodPost, "/x", nil)
			if front.Server.ConnContext == nil {
				return r
			}
			return r.WithContext(front.Server.ConnContext(r.Context(), conn))
		}
		// The server has read a request, and reports the connection as active only after it was closed.
		front.Server.ConnState(conn, http.StateIdle)
		front.closeIdleSince(time.Now().Add(2 * time.Second))
		front.Server.ConnState(conn, http.StateActive)
		Expect(func() { front.Server.Handler.ServeHTTP(httptest.NewRecorder(), request()) }).To(PanicWith(http.ErrAbortHandler))
		Expect(passedOn).To(BeZero())

		front.Server.ConnState(conn, http.StateClosed)
		front.Server.Handler.ServeHTTP(httptest.NewRecorder(), request())
		Expect(passedOn).To(Equal(1))
	})
})
