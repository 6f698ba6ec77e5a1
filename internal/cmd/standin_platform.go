package cmd

import (
	"context"

	"ospreymoor.example/ospreymoor/internal/standin"
)

// standinPlatformCommand runs a stand-in of the key-value service, the box list and the weight store.
//
//	ospreymoor standin platform --listen ADDR
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
