package transport

import (
	"bytes"
	"regexp"
	"sync"

	"github.com/juju/errors"
)

// ErrMalformed marks the error of an answer whose head is none in HTTP/1. Its connection is closed.
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
	// failed is why the answer is malformed; nil if it is not.
	failed error
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
	return nil
}

// maxNamedBytes bounds the part of a malformed line that an error names.
const maxNamedBytes = 64
