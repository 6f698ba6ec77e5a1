package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/standin"
)

// ospreymoor standin platform|engine|service
//
// Runs a stand-in of a system around ospreymoor, for tests and demonstrations.
type standinCommand struct {
	Platform standinPlatformCommand `cmd:"" help:"Key-value service, box list and weight store."`
	Engine   standinEngineCommand   `cmd:"" help:"Model engine."`
	Service  standinServiceCommand  `cmd:"" help:"Plain service."`
}

// ospreymoor standin platform --listen ADDR
type standinPlatformCommand struct {
	Listen string `name:"listen" default:"127.0.0.1:2379" help:"Address to serve on."`
	Speed  int64  `name:"weight-speed" default:"0" help:"Bytes a second of one load from the weight store; 0 takes no time."`
}

// Run serves the platform.
func (c *standinPlatformCommand) Run(ctx context.Context, out output) error {
	platform := standin.NewPlatform()
	platform.Weights.BytesPerSecond = c.Speed
	return serveStandin(ctx, out, c.Listen, platform.Handler())
}

// ospreymoor standin engine --listen ADDR [flags]
type standinEngineCommand struct {
	Listen     string        `name:"listen" default:"127.0.0.1:9000" help:"Address to serve on."`
	Memory     int64         `name:"memory" default:"68719476736" help:"Memory for models, in bytes."`
	Slots      int           `name:"slots" default:"8" help:"Requests run at once."`
	Unfenced   bool          `name:"unfenced" help:"Do not check who orders."`
	FirstToken time.Duration `name:"first-token" default:"20ms" help:"Time to the first piece."`
	TokenTime  time.Duration `name:"token-time" default:"5ms" help:"Time between pieces."`
	Weights    string        `name:"weights" help:"URL of the platform whose weight store to use; none takes no time."`
}

// Run serves the engine.
func (c *standinEngineCommand) Run(ctx context.Context, out output) error {
	config := standin.EngineConfig{
		Memory:     c.Memory,
		Slots:      c.Slots,
		Fenced:     !c.Unfenced,
		FirstToken: c.FirstToken,
		TokenTime:  c.TokenTime,
	}
	if c.Weights != "" {
		config.Fetch = fetchFrom(c.Weights)
	}
	return serveStandin(ctx, out, c.Listen, standin.NewEngine(config).Handler())
}

// fetchFrom loads weights from a platform in another process.
func fetchFrom(platform string) func(context.Context, int64) error {
	return func(ctx context.Context, bytes int64) error {
		target := platform + "/weights?" + url.Values{"bytes": {strconv.FormatInt(bytes, 10)}}.Encode()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
		if err != nil {
			return errors.Trace(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return errors.Trace(err)
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return errors.Errorf("weight store: %s", response.Status)
		}
		return nil
	}
}

// ospreymoor standin service --listen ADDR [--delay TIME]
type standinServiceCommand struct {
	Listen string        `name:"listen" default:"127.0.0.1:9100" help:"Address to serve on."`
	Delay  time.Duration `name:"delay" default:"0s" help:"Time before each answer."`
}

// Run serves the service.
func (c *standinServiceCommand) Run(ctx context.Context, out output) error {
	service := standin.NewService()
	service.Delay = c.Delay
	return serveStandin(ctx, out, c.Listen, service.Handler())
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
