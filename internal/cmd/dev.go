package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/dev"
)

// devCommand runs a platform, engines, plain services and the entry boxes of two halls in this process, on
// free loopback ports, with an example bundle of each user in force.
//
//	ospreymoor dev [--once] [--platform]
type devCommand struct {
	Once bool `name:"once" help:"Send a few requests, print the answers and exit: 0 if all went well."`
	Logs bool `name:"logs" help:"Print the boxes' log lines too."`
	// Platform selects the platform mode, on stand-ins of the users' platform.
	Platform bool `name:"platform" help:"Show the path on the users' platform, on stand-ins of it."`
}

const (
	// devStartTimeout is the timeout, 60 s, until all models are loaded; with --once also until the requests are done.
	devStartTimeout = 60 * time.Second
	// devFirstToken and devTokenTime are the engine stand-ins' time to the first token and time between
	// tokens: 20 ms and 5 ms.
	devFirstToken = 20 * time.Millisecond
	devTokenTime  = 5 * time.Millisecond
)

// Run starts the fleet, and stops it when ctx ends or, with --once, after a few requests.
func (c *devCommand) Run(ctx context.Context, out output) (err error) {
	log := zap.NewNop()
	if c.Logs {
		if log, err = newLogger("info"); err != nil {
			return err
		}
	}
	if c.Platform {
		return c.runPlatformMode(ctx, log, out)
	}
	fleet, err := dev.Start(dev.Options{FirstToken: devFirstToken, TokenTime: devTokenTime, Log: log})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	if err := fleet.RollExamples(startCtx); err != nil {
		return errors.Annotate(err, "starting")
	}
	fleet.Describe(out)
	if c.Once {
		return fleet.SendExamples(startCtx, out)
	}
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "stopping")
	return nil
}
