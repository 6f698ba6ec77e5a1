package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/standin"
)

// standinCommand groups the commands that run a stand-in of a system around ospreymoor, for tests and
// demonstrations.
//
//	ospreymoor standin platform|engine|service
type standinCommand struct {
	Platform standinPlatformCommand `cmd:"" help:"Key-value service, box list and weight store."`
	Engine   standinEngineCommand   `cmd:"" help:"Model engine."`
	Service  standinServiceCommand  `cmd:"" help:"Plain service."`
}

// serveStandin serves a stand-in until ctx ends.
func serveStandin(ctx context.Context, out output, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotate(err, "listening: choose another --listen")
	}
	_, _ = fmt.Fprintf(out, "listening on %s\n", listener.Addr())
	server := standin.NewServer(handler)
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
