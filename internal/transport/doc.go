// Package transport opens connections that fail soon after the remote host stops responding. It
// sends HTTP requests over them and reports whether a failed request was sent.
//
// Connections belong to the http.Transport that New returns. The package relies on TCP options of
// Linux.
//
// Servers for callers of both modes use ResetAborted, so that no answer that breaks off looks complete.
//
// `ospreymoor node` uses it to call the platform's store, upstreams and other boxes (HTTP/1.1).
// `ospreymoor serve` uses internal/engine's transport instead: HTTP/2, with pings in place of the
// TCP options.
package transport
