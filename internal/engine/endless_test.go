package engine_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/engine"
	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1/enginev1connect"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestEngine(t *testing.T) { spectest.Run(t, "Engine") }

// longEngine answers a run with one long piece, or with long headers.
type longEngine struct {
	enginev1connect.UnimplementedEngineServiceHandler
	piece, header int
}

func (e *longEngine) Generate(_ context.Context, request *connect.Request[enginev1.GenerateRequest], stream *connect.ServerStream[enginev1.GenerateResponse]) error {
	stream.ResponseHeader().Set("Filler", strings.Repeat("x", e.header))
	return stream.Send(&enginev1.GenerateResponse{RequestId: request.Msg.GetRequestId(), Text: strings.Repeat("x", e.piece)})
}

// A faulty engine's message or headers were taken whole, whatever their length.
var _ = DescribeTable("a run at an engine that sends too much fails, and what was sent is not taken",
	func(faulty *longEngine) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		mux := http.NewServeMux()
		mux.Handle(enginev1connect.NewEngineServiceHandler(faulty))
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Handler: mux, Protocols: &protocols}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		client := engine.NewClient(engine.NewHTTPClient((&net.Dialer{}).DialContext), membership.Box{Address: listener.Addr().String()})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		pieces := 0
		err = client.Generate(ctx, engine.Request{ID: "r"}, func(uint32, string) error { pieces++; return nil })
		Expect(err).To(HaveOccurred())
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(pieces).To(BeZero())
	},
	Entry("a piece of 5 MB", &longEngine{piece: 5 << 20}),
	Entry("headers of 100 KB", &longEngine{piece: 1, header: 100 << 10}),
)
