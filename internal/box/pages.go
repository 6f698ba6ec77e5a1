package box

import (
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1/ospreymoorv1connect"
	"ospreymoor.example/ospreymoor/internal/transport"
)

const (
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 10 * time.Second
	// compressMinBytes is the size from which a message is compressed. Pieces of an answer are a few bytes each, and
	// compressing them would take longer than everything else.
	compressMinBytes = 4096
)

// handler returns the handler for callers, operators and the box's own pages.
func (b *Box) handler() http.Handler {
	options := connect.WithHandlerOptions(
		connect.WithReadMaxBytes(int(b.config.Requests.MaxBody)),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	mux := http.NewServeMux()
	mux.Handle(ospreymoorv1connect.NewInferenceServiceHandler(b.models, options))
	mux.Handle(ospreymoorv1connect.NewOperatorServiceHandler(b.operators, options))
	mux.Handle("/services/{service}/{path...}", b.services)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "live") })
	mux.HandleFunc("GET /readyz", b.readyz)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { b.set.WritePrometheus(w) })
	return mux
}

// readyz tells the balancer whether the box should get requests.
func (b *Box) readyz(w http.ResponseWriter, _ *http.Request) {
	if b.Ready() {
		_, _ = fmt.Fprintln(w, "ready")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	if b.self.draining.Load() {
		_, _ = fmt.Fprintln(w, "draining")
		return
	}
	_, _ = fmt.Fprintln(w, "starting: what is in force is not known from the platform or a peer yet; check --platform and --peer")
}

// newServer returns the server for callers, with HTTP/1.1 and with HTTP/2 without TLS.
func newServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleConnTimeout,
	}
	transport.ResetAborted(server)
	return server
}
