package cmd

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// bundleRollCommand puts signed-off bundle versions in force.
//
//	ospreymoor bundle roll FILE... --token TOKEN [--box URL]
type bundleRollCommand struct {
	operatorFlags
	Files []string `arg:"" name:"file" help:"Bundle files whose versions are signed off."`
}

// Run rolls the files' versions.
func (c *bundleRollCommand) Run(ctx context.Context, out output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return forEachBundle(c.Files, func(b *bundle.Bundle, _ string) error {
		answer, err := client.RollBundle(ctx, withToken(c.operatorFlags, &ospreymoorv1.RollBundleRequest{Version: b.Version}))
		if err != nil {
			return errors.Annotate(err, "rolling")
		}
		_, err = fmt.Fprintf(out, "%s version %d in force, generation %d\n", b.Customer, b.Version, answer.Msg.GetGeneration())
		return err
	})
}
