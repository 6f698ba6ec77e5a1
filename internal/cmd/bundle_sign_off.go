package cmd

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// bundleSignOffCommand stores bundle versions permanently.
//
//	ospreymoor bundle sign-off FILE... --token TOKEN [--box URL]
type bundleSignOffCommand struct {
	operatorFlags
	Files []string `arg:"" name:"file" help:"Bundle files."`
}

// Run signs the files off.
func (c *bundleSignOffCommand) Run(ctx context.Context, out output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return forEachBundle(c.Files, func(_ *bundle.Bundle, yaml string) error {
		answer, err := client.SignOffBundle(ctx, withToken(c.operatorFlags, &ospreymoorv1.SignOffBundleRequest{Yaml: yaml}))
		if err != nil {
			return errors.Annotate(err, "signing off")
		}
		_, err = fmt.Fprintf(out, "%s version %d signed off, digest %s\n", answer.Msg.GetCustomer(), answer.Msg.GetVersion(), answer.Msg.GetDigest())
		return err
	})
}
