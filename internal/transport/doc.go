// Package transport opens connections that break soon after the other side falls silent, and
// sends HTTP requests over them so that a failed request is known to have been sent or not.
//
// It owns nothing: connections belong to the http.Transport that New returns. It relies on TCP
// options of Linux.
//
// `ospreymoor node` uses it towards the platform's store, upstreams and other boxes (HTTP/1.1).
// `ospreymoor serve` has internal/engine's transport instead: HTTP/2, with pings in place of TCP's
// options.
package transport
