package standin

import (
	"io"
	"log"
	"net/http"
)

// NewServer returns a server of HTTP/1.1 and HTTP/2 without TLS. The library's log lines on broken
// connections are dropped: the faults that stand-ins inject break them on purpose.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: &protocols, ErrorLog: log.New(io.Discard, "", 0)}
}
