package peer_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestPeer(t *testing.T) { spectest.Run(t, "Peer") }

// failingListener fails the first Accept calls, as when the process has no file descriptors left.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

var _ = Describe("a server", func() {
	It("continues after errors of Accept, reports them, and stops when its listener is closed", func() {
		spectest.Bubble(func() {
			network := &spectest.Network{}
			listener := &failingListener{Listener: network.Listen("a:1")}
			listener.failures.Store(3)
			server := peer.NewServer("secret", metrics.NewSet())
			reported := 0
			server.OnAcceptError = func(error) { reported++ }
			peer.Handle(server, "ask", func(context.Context, string) (string, error) { return "answer", nil })
			ended := make(chan struct{})
			go func() { server.Serve(listener); close(ended) }()
			client := peer.NewClient("secret", network.Dial, metrics.NewSet())
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			Expect(peer.Call[string](ctx, client, "a:1", "ask", "")).To(Equal("answer"))
			Expect(reported).To(Equal(3))
			client.Close()
			_, err := peer.Call[string](ctx, client, "a:1", "ask", "")
			Expect(err).To(MatchError(ContainSubstring("closed")), "a call after the client was closed")
			server.Close()
			Expect(listener.Close()).To(Succeed())
			<-ended
		})
	})
})
