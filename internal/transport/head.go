package transport

import (
	"bytes"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed marks the error of an answer whose head, or whose trailer, is none in HTTP/1. Its connection is closed.
const ErrMalformed = errors.ConstError("malformed answer")

// statusLine matches the status line of an answer. Status 101 is matched, too, though no request asks for it.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] ([1-5][0-9][0-9])(?: .*)?$`)

// switchingProtocols is the informational status that ends an exchange.
const switchingProtocols = "101"

// headCheck checks the heads of the answer to one request as they arrive. net/http accepts some that are none, and what it
// returns of them does not show that. The zero value checks nothing until begin is called.
type headCheck struct {
	mu sync.Mutex
	// active is set from begin until the last head is complete.
	active bool
	// line is what has arrived of the current line. It is bounded by maxHeadBytes, which ends the connection.
	line []byte
	// inFields is set after a status line. informational means that another head follows the current one.
	inFields, informational bool
	// unframed means that the version has no transfer encodings. net/http drops the field there and takes chunks for the body.
	unframed bool
	// failed is why the answer is malformed; nil if it is not.
	failed error
}

// CheckHeads returns a request to which an answer with a malformed head is an error, on connections of a function that
// Checked returned. Sender does this for all requests.
func CheckHeads(request *http.Request) *http.Request {
	return request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countingConn); ok {
				conn.heads.begin()
			}
		},
	}))
}

// begin expects the answer to the next request.
func (c *headCheck) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.line, c.inFields, c.informational = true, nil, false, false
}

// check checks what was read from the connection. The error is of type ErrMalformed.
func (c *headCheck) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.active && c.failed == nil && len(p) > 0 {
		part, rest, complete := bytes.Cut(p, []byte{'\n'})
		c.line = append(c.line, part...)
		p = rest
		if complete {
			c.failed = c.endLine(bytes.TrimSuffix(c.line, []byte{'\r'}))
			c.line = c.line[:0]
		}
	}
	if !c.active {
		c.line = nil
	}
	return c.failed
}

// error returns why an answer on the connection is malformed, or nil.
func (c *headCheck) error() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// endLine checks a complete line.
func (c *headCheck) endLine(line []byte) error {
	switch {
	case !c.inFields:
		return c.beginFields(line)
	case len(line) == 0:
		c.inFields, c.active = false, c.informational
		return nil
	}
	return c.checkField(line)
}

// checkField checks the line of a field. net/http takes a blank in a name, so that a field with it counts for nothing, not
// even for the body's length, and it joins a line that begins with a blank to the one before. It checks values itself.
func (c *headCheck) checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte{':'})
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Annotatef(ErrMalformed, "field %q", line[:min(len(line), maxNamedBytes)])
	}
	if c.unframed && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return errors.Annotatef(ErrMalformed, "field %q in a version without it", name)
	}
	return nil
}

// beginFields checks a status line.
func (c *headCheck) beginFields(line []byte) error {
	match := statusLine.FindSubmatch(line)
	if match == nil || string(match[1]) == switchingProtocols {
		return errors.Annotatef(ErrMalformed, "status line %q", line[:min(len(line), maxNamedBytes)])
	}
	c.inFields, c.informational = true, match[1][0] == '1'
	c.unframed = bytes.HasPrefix(line, []byte("HTTP/1.0"))
	return nil
}

// maxNamedBytes bounds the part of a malformed line that an error names.
const maxNamedBytes = 64

// checkTrailer checks the names of the fields that follow a body. The error is of type ErrMalformed.
func checkTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Annotatef(ErrMalformed, "field %q of the trailer", name[:min(len(name), maxNamedBytes)])
		}
	}
	return nil
}
