package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/dev"
)

// ospreymoor dev [--once] [--platform]
//
// Runs a platform, engines, plain services and the entry boxes of two halls in this
// process, on free ports of loopback, with an example bundle of each user in force.
type devCommand struct {
	Once bool `name:"once" help:"Send a few requests, print the answers and exit: 0 if all went well."`
	Logs bool `name:"logs" help:"Print the boxes' log lines too."`
	// Platform shows the path on the users' platform instead.
	Platform bool `name:"platform" help:"Show the path on the users' platform, on stand-ins of it."`
}

const (
	// devStartTime bounds the time until all models are loaded: 60 s.
	devStartTime = 60 * time.Second
	// devFirstToken and devTokenTime are the engine stand-ins' times to the first token and between
	// tokens: 20 ms and 5 ms.
	devFirstToken = 20 * time.Millisecond
	devTokenTime  = 5 * time.Millisecond
)

// Run starts everything, and stops it when ctx ends.
func (c *devCommand) Run(ctx context.Context, out output) (err error) {
	log := zap.NewNop()
	if c.Logs {
		if log, err = newLogger("info"); err != nil {
			return err
		}
	}
	if c.Platform {
		return c.runOnPlatform(ctx, log, out)
	}
	fleet, err := dev.Start(dev.Options{FirstToken: devFirstToken, TokenTime: devTokenTime, Log: log})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	startCtx, cancel := context.WithTimeout(ctx, devStartTime)
	defer cancel()
	if err := fleet.RollExamples(startCtx); err != nil {
		return errors.Annotate(err, "starting")
	}
	fleet.Describe(out)
	if c.Once {
		return fleet.TryOut(startCtx, out)
	}
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "stopping")
	return nil
}
