package cmd

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/internal/standin"
)

// standinServiceCommand runs a stand-in of a plain service.
//
//	ospreymoor standin service --listen ADDR [--delay TIME]
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
