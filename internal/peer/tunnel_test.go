package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// brokenConn ends with an error in place of the end of the connection.
type brokenConn struct{ net.Conn }

// Read replaces io.EOF by a reset.
func (c brokenConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = syscall.ECONNRESET
	}
	return n, err
}

var _ = Describe("a tunnel", func() {
	// withExit runs f with a client, and with the far end of the connection that the exit opens to an upstream.
	withExit := func(wrap func(net.Conn) net.Conn, f func(ctx context.Context, client *peer.Client, server *peer.Server, upstream chan net.Conn)) {
		spectest.Bubble(func() {
			network := &spectest.Network{}
			listener := network.Listen("exit:1")
			server := peer.NewServer("secret", metrics.NewSet())
			opened := make(chan net.Conn, 1)
			server.OnTunnel = func(upstream string) (net.Conn, peer.TunnelStatus) {
				if upstream != "e1" {
					return nil, peer.TunnelUnknown
				}
				near, far := net.Pipe()
				opened <- far
				return wrap(near), peer.TunnelOpen
			}
			peer.Handle(server, "ask", func(context.Context, string) (string, error) { return "answer", nil })
			ended := make(chan struct{})
			go func() { server.Serve(listener); close(ended) }()
			client := peer.NewClient("secret", network.Dial, metrics.NewSet())
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			f(ctx, client, server, opened)
			client.Close()
			server.Close()
			Expect(listener.Close()).To(Succeed())
			<-ended
		})
	}
	unchanged := func(conn net.Conn) net.Conn { return conn }
	open := func(ctx context.Context, client *peer.Client, opened chan net.Conn) (near, far net.Conn) {
		conn, status, err := client.OpenTunnel(ctx, "exit:1", "e1")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(peer.TunnelOpen))
		return conn, <-opened
	}

	It("carries bytes both ways unaltered, beside calls, until the upstream closes", func() {
		withExit(unchanged, func(ctx context.Context, client *peer.Client, _ *peer.Server, opened chan net.Conn) {
			conn, far := open(ctx, client, opened)
			long := strings.Repeat("\x00answer", 10_000)
			go func() {
				request := make([]byte, len("request"))
				_, _ = io.ReadFull(far, request)
				_, _ = far.Write([]byte(string(request) + long))
				_ = far.Close()
			}()
			_, err := conn.Write([]byte("request"))
			Expect(err).NotTo(HaveOccurred())
			Expect(peer.Call[string](ctx, client, "exit:1", "ask", "")).To(Equal("answer"))
			text, err := io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(Equal("request" + long))
			Expect(conn.Close()).To(Succeed())
		})
	})

	DescribeTable("does not end like a closed connection if the answer may be incomplete", func(wrap func(net.Conn) net.Conn, end func(*peer.Server, net.Conn)) {
		withExit(wrap, func(ctx context.Context, client *peer.Client, server *peer.Server, opened chan net.Conn) {
			conn, far := open(ctx, client, opened)
			_, err := far.Write([]byte("part"))
			Expect(err).NotTo(HaveOccurred())
			end(server, far)
			text, err := io.ReadAll(conn)
			Expect(err).To(HaveOccurred())
			Expect(string(text)).To(HavePrefix("part"[:len(text)]))
			Expect(conn.Close()).To(Succeed())
			_ = far.Close()
		})
	},
		Entry("when the upstream resets", func(conn net.Conn) net.Conn { return brokenConn{conn} }, func(_ *peer.Server, far net.Conn) { _ = far.Close() }),
		Entry("when the exit stops", unchanged, func(server *peer.Server, _ net.Conn) { server.Close() }),
	)

	It("closes the upstream's connection when the near end is closed", func() {
		withExit(unchanged, func(ctx context.Context, client *peer.Client, _ *peer.Server, opened chan net.Conn) {
			conn, far := open(ctx, client, opened)
			Expect(conn.Close()).To(Succeed())
			_, err := far.Read(make([]byte, 1))
			Expect(err).To(HaveOccurred())
		})
	})

	It("is not opened to an upstream that the exit does not list, with a wrong secret, or by a box that carries none", func() {
		withExit(unchanged, func(ctx context.Context, client *peer.Client, server *peer.Server, _ chan net.Conn) {
			conn, status, err := client.OpenTunnel(ctx, "exit:1", "another")
			Expect(err).NotTo(HaveOccurred())
			Expect(conn).To(BeNil())
			Expect(status).To(Equal(peer.TunnelUnknown))
			stranger := peer.NewClient("another secret", client.Dial, metrics.NewSet())
			_, _, err = stranger.OpenTunnel(ctx, "exit:1", "e1")
			Expect(err).To(HaveOccurred())
			server.OnTunnel = nil
			_, _, err = client.OpenTunnel(ctx, "exit:1", "e1")
			Expect(err).To(HaveOccurred())
		})
	})

	It("is given up with its context while the exit does not answer", func() {
		withExit(unchanged, func(ctx context.Context, client *peer.Client, server *peer.Server, _ chan net.Conn) {
			release := make(chan struct{})
			server.OnTunnel = func(string) (net.Conn, peer.TunnelStatus) { <-release; return nil, peer.TunnelSilent }
			bounded, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			begun := time.Now()
			_, _, err := client.OpenTunnel(bounded, "exit:1", "e1")
			Expect(err).To(HaveOccurred())
			Expect(time.Since(begun)).To(Equal(100 * time.Millisecond))
			Expect(errors.Is(err, io.EOF)).To(BeFalse())
			close(release)
		})
	})
})
