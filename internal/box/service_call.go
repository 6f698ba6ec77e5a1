package box

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// Headers that callers send with calls that may not be repeated.
const (
	headerRequestKey   = "Request-Key"
	headerFirstAttempt = "Request-First-Attempt"
)

// hopByHopHeaders concern one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serviceCall is one caller's call of a plain service, resolved against the bundle in force.
type serviceCall struct {
	caller  caller
	service bundle.Service
	path    string
	// fullName is customer/service.
	fullName string
	request  *http.Request
	body     []byte
}

// notRepeatable reports whether the bundle lists the call among those that may run at most once.
func (c *serviceCall) notRepeatable() bool {
	for _, listed := range c.service.NotRepeatable {
		if strings.EqualFold(listed.Method, c.request.Method) && strings.HasPrefix(c.path, listed.Path) {
			return true
		}
	}
	return false
}

// onceRequest returns what the claim of the call needs to know.
func (c *serviceCall) onceRequest() onceRequest {
	return onceRequest{
		customer:     c.caller.bundle.Customer,
		key:          c.request.Header.Get(headerRequestKey),
		digest:       c.digest(),
		firstAttempt: isFirstAttempt(c.request.Header),
	}
}

// digest returns the digest of what the call asks for.
func (c *serviceCall) digest() string {
	sum := sha256.New()
	for _, part := range []string{c.request.Method, c.service.Name, c.path, c.request.URL.RawQuery} {
		_, _ = io.WriteString(sum, part+"\x00")
	}
	_, _ = sum.Write(c.body)
	return hex.EncodeToString(sum.Sum(nil)[:digestBytes])
}

// isFirstAttempt reports whether the caller promises that it sent no earlier attempt.
func isFirstAttempt(header http.Header) bool { return header.Get(headerFirstAttempt) == "true" }

// endToEndHeaders returns a copy of header without the hop-by-hop headers.
func endToEndHeaders(header http.Header) http.Header {
	passed := header.Clone()
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		passed.Del(name)
	}
	return passed
}
