package transport

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// ResetAborted has a server reset the connection of an answer in HTTP/1.0 that is not whole, whether its handler breaks it
// off, the server is closed or the process is killed. Such an answer may have no length and then ends with its connection:
// closed as usual, the part that was sent looks complete. Call it before the server serves.
func ResetAborted(server *http.Server) {
	next, connContext := server.Handler, server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok && !r.ProtoAtLeast(1, 1) {
			tcp := innermost(conn)
			resetOnClose(tcp)
			next.ServeHTTP(w, r)
			deliverOnClose(tcp) // Not reached by a handler that breaks its answer off, which panics.
			return
		}
		next.ServeHTTP(w, r)
	})
}

// innermost returns the connection that others wrap.
func innermost(conn net.Conn) net.Conn {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = outer.NetConn()
	}
}
