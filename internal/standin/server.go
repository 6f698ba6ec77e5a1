package standin

import (
	"io"
	"log"
	"net/http"
)

// NewServer returns a server for HTTP/1.1 and HTTP/2 without TLS. It drops net/http's log lines about broken
// connections, since the faults that stand-ins inject break connections on purpose.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: &protocols, ErrorLog: log.New(io.Discard, "", 0)}
}
