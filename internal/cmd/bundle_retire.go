package cmd

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// bundleRetireCommand takes bundle versions that are in force out of service.
//
//	ospreymoor bundle retire FILE... --token TOKEN [--box URL]
type bundleRetireCommand struct {
	operatorFlags
	Files []string `arg:"" name:"file" help:"Bundle files whose versions are in force."`
}

// Run retires the files' versions.
func (c *bundleRetireCommand) Run(ctx context.Context, out output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return forEachBundle(c.Files, func(b *bundle.Bundle, _ string) error {
		answer, err := client.RetireBundle(ctx, withToken(c.operatorFlags, &ospreymoorv1.RetireBundleRequest{Version: b.Version}))
		if err != nil {
			return errors.Annotate(err, "retiring")
		}
		_, err = fmt.Fprintf(out, "%s version %d retired, generation %d\n", b.Customer, b.Version, answer.Msg.GetGeneration())
		return err
	})
}
