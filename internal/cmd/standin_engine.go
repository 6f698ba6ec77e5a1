package cmd

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/standin"
)

// standinEngineCommand runs a stand-in of a model engine.
//
//	ospreymoor standin engine --listen ADDR [flags]
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

// fetchFrom returns a function that loads weights from a platform stand-in in another process.
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
