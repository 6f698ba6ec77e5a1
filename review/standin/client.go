package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a client with one kept connection to a box.
type client struct {
	front  string
	conn   net.Conn
	reader *bufio.Reader
}

const host = "ficu95.example"

// ask sends one request and reads the whole answer. The header lines end with CRLF. An error means that no whole answer
// came.
func (c *client) ask(method, path, id string, deadline time.Duration, header, body string) (*http.Response, string, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			return nil, "", err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Ospreymoor-Request-Id: %s\r\nX-Ospreymoor-Deadline-Ms: %d\r\n%s", method, path, host, id, deadline.Milliseconds(), header)
	if method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		c.close()
		return nil, "", err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return nil, "", err
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		c.close()
	}
	return response, string(got), err
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
