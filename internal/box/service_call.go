package box

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// Headers of calls that may not be repeated.
const (
	headerRequestKey   = "Request-Key"
	headerFirstAttempt = "Request-First-Attempt"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serviceCall is one caller's call of a plain service, resolved against the bundle in force.
type serviceCall struct {
	caller  caller
	service bundle.Service
	path    string
	// key is customer/service.
	key     string
	request *http.Request
	body    []byte
}

// notRepeatable reports whether the bundle lists the call as one that may run at most once.
func (c *serviceCall) notRepeatable() bool {
	for _, listed := range c.service.NotRepeatable {
		if strings.EqualFold(listed.Method, c.request.Method) && strings.HasPrefix(c.path, listed.Path) {
			return true
		}
	}
	return false
}

// once is the call as its claim knows it.
func (c *serviceCall) once() onceRequest {
	return onceRequest{
		customer:     c.caller.bundle.Customer,
		key:          c.request.Header.Get(headerRequestKey),
		digest:       c.digest(),
		firstAttempt: isFirstAttempt(c.request.Header),
	}
}

// digest of what the call asks for.
func (c *serviceCall) digest() string {
	sum := sha256.New()
	for _, part := range []string{c.request.Method, c.service.Name, c.path, c.request.URL.RawQuery} {
		_, _ = io.WriteString(sum, part+"\x00")
	}
	_, _ = sum.Write(c.body)
	return hex.EncodeToString(sum.Sum(nil)[:digestBytes])
}

// isFirstAttempt reports whether the caller promises that no earlier attempt was sent.
func isFirstAttempt(header http.Header) bool { return header.Get(headerFirstAttempt) == "true" }

// passedOn is a header without what concerns one connection only.
func passedOn(header http.Header) http.Header {
	passed := header.Clone()
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		passed.Del(name)
	}
	return passed
}
