package box

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// A plain service answered a long call at once, with neither a length nor chunks, and reset the connection while the call was
// still written: the part that had arrived was kept as the answer of all attempts. Heads that are none arrived as answers.
var _ = Describe("a broken answer of a plain service", func() {
	const callBytes = 16 << 20

	DescribeTable("is none", func(text string, end func(*net.TCPConn)) {
		upstream := membership.Box{Address: spectest.AnswerAll(text, end)}
		dial := (&net.Dialer{}).DialContext
		proxy := &serviceProxy{
			repeatableClient: &http.Client{Transport: httpTransport(dial)},
			onceClient:       &http.Client{Transport: onceTransport(dial)},
		}
		call := &serviceCall{
			caller: caller{bundle: &bundle.Bundle{Customer: "c"}}, path: "/x", body: make([]byte, callBytes),
			request: httptest.NewRequest(http.MethodPost, "/services/s/x", nil),
		}
		for range 20 {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			once := &serviceOnce{serviceProxy: proxy, call: call, upstream: upstream}
			_, err := once.readAnswer(ctx)
			Expect(err).To(HaveOccurred())
			response, err := proxy.send(ctx, proxy.repeatableClient, call, upstream)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			Expect(err).To(HaveOccurred())
			cancel()
		}
	},
		Entry("a part of it and a reset", "HTTP/1.1 200 OK\r\n\r\npart", spectest.ResetAfter(10*time.Millisecond)),
		Entry("status 000", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\ntext", spectest.CloseAnswer),
		Entry("a blank in the name of a field", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ntext and more", spectest.CloseAnswer),
	)
})
