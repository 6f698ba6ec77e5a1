package gateway

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("a drain", func() {
	It("accepts requests until the balancer has noticed, then ends connections, then refuses", func() {
		spectest.Bubble(func() {
			answered := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			f := NewFront(answered, &Gateway{})
			ask := func() *httptest.ResponseRecorder {
				answer := httptest.NewRecorder()
				f.Server.Handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", nil))
				return answer
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.Drain(10 * time.Second)
			}()
			time.Sleep(1900 * time.Millisecond)
			Expect(ask().Header()).NotTo(HaveKey("Connection"))
			time.Sleep(200 * time.Millisecond)
			Expect(ask().Header().Get("Connection")).To(Equal("close"))
			Expect(ask().Code).To(Equal(http.StatusOK))
			time.Sleep(800 * time.Millisecond)
			refused := ask()
			Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(refused.Header().Get("Retry-After")).To(Equal("0.050"))
			Expect(refused.Body.String()).To(Equal("box stops\n"))
			<-done
		})
	})

	It("shortens its phases to a quarter and a half of a short grace time", func() {
		spectest.Bubble(func() {
			f := NewFront(http.NotFoundHandler(), &Gateway{})
			begun := time.Now()
			f.Drain(time.Second)
			Expect(time.Since(begun)).To(Equal(500 * time.Millisecond))
		})
	})

	// A drain closed the connections of all requests that were not answered 0.3 s before the end of the grace time, with
	// the answers of upstreams that ran them.
	It("delivers answers until the process is ended, and cuts none off within the grace time", func() {
		const grace = time.Second
		for took, cutOff := range map[time.Duration]bool{
			grace - DrainMargin/2: false, grace + DrainMargin: false, 2*grace - DrainMargin: false, 3 * grace: true,
		} {
			spectest.Bubble(func() {
				var network spectest.Network
				slow := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(took) })
				f := NewFront(slow, &Gateway{})
				go f.Serve(network.Listen("box:1"))
				caller := &http.Client{Transport: &http.Transport{DialContext: network.Dial}}
				answered := make(chan error, 1)
				go func() {
					response, err := caller.Get("http://box:1/")
					if err == nil {
						err = response.Body.Close()
					}
					answered <- err
				}()
				time.Sleep(time.Millisecond)
				begun := time.Now()
				f.Drain(grace)
				f.Finish(grace)
				Expect(time.Since(begun)).To(BeNumerically("<=", 2*grace))
				Expect(<-answered != nil).To(Equal(cutOff), "answered after %v", took)
				caller.CloseIdleConnections()
				time.Sleep(4 * grace) // The handler may outlast its connection.
			})
		}
	})
})
