package cmd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1/ospreymoorv1connect"
	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// ospreymoor bundle check|sign-off|roll|retire|list
//
// Takes a customer's bundle from a file to service and out of it.
type bundleCommand struct {
	Check   bundleCheckCommand   `cmd:"" help:"Check bundle files; changes nothing, needs no box."`
	SignOff bundleSignOffCommand `cmd:"" name:"sign-off" help:"Store bundle versions for good."`
	Roll    bundleRollCommand    `cmd:"" help:"Put signed-off versions in force."`
	Retire  bundleRetireCommand  `cmd:"" help:"Take versions in force out of service."`
	List    bundleListCommand    `cmd:"" help:"List the customer's signed-off versions."`
}

// operatorFlags say which box to ask, and as whom.
type operatorFlags struct {
	Box   string `name:"box" env:"OSPREYMOOR_BOX" default:"http://127.0.0.1:8080" help:"URL of any entry box."`
	Token string `name:"token" env:"OSPREYMOOR_TOKEN" help:"The operator's token."`
}

func (f operatorFlags) client() (ospreymoorv1connect.OperatorServiceClient, error) {
	if f.Token == "" {
		return nil, missing("token", "give the token of the customer's operators")
	}
	if !strings.HasPrefix(f.Box, "http://") && !strings.HasPrefix(f.Box, "https://") {
		return nil, wrong("box", f.Box, "give a URL such as http://127.0.0.1:8080")
	}
	return ospreymoorv1connect.NewOperatorServiceClient(http.DefaultClient, f.Box), nil
}

// withToken makes a request that carries the operator's token.
func withToken[T any](f operatorFlags, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+f.Token)
	return request
}

// ospreymoor bundle check FILE...
type bundleCheckCommand struct {
	Files []string `arg:"" name:"file" help:"Bundle files."`
}

// Run checks the files.
func (c *bundleCheckCommand) Run(out output) error {
	return eachBundle(c.Files, func(b *bundle.Bundle, _ string) error {
		_, err := fmt.Fprintf(out, "%s version %d: %d models, %d adapters, %d services: good\n",
			b.Customer, b.Version, len(b.Models), len(b.Adapters), len(b.Services))
		return err
	})
}

// ospreymoor bundle sign-off FILE... --token TOKEN [--box URL]
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
	return eachBundle(c.Files, func(_ *bundle.Bundle, yaml string) error {
		answer, err := client.SignOffBundle(ctx, withToken(c.operatorFlags, &ospreymoorv1.SignOffBundleRequest{Yaml: yaml}))
		if err != nil {
			return errors.Annotate(err, "signing off")
		}
		_, err = fmt.Fprintf(out, "%s version %d signed off, digest %s\n", answer.Msg.GetCustomer(), answer.Msg.GetVersion(), answer.Msg.GetDigest())
		return err
	})
}

// ospreymoor bundle roll FILE... --token TOKEN [--box URL]
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
	return eachBundle(c.Files, func(b *bundle.Bundle, _ string) error {
		answer, err := client.RollBundle(ctx, withToken(c.operatorFlags, &ospreymoorv1.RollBundleRequest{Version: b.Version}))
		if err != nil {
			return errors.Annotate(err, "rolling")
		}
		_, err = fmt.Fprintf(out, "%s version %d in force, generation %d\n", b.Customer, b.Version, answer.Msg.GetGeneration())
		return err
	})
}

// ospreymoor bundle retire FILE... --token TOKEN [--box URL]
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
	return eachBundle(c.Files, func(b *bundle.Bundle, _ string) error {
		answer, err := client.RetireBundle(ctx, withToken(c.operatorFlags, &ospreymoorv1.RetireBundleRequest{Version: b.Version}))
		if err != nil {
			return errors.Annotate(err, "retiring")
		}
		_, err = fmt.Fprintf(out, "%s version %d retired, generation %d\n", b.Customer, b.Version, answer.Msg.GetGeneration())
		return err
	})
}

// ospreymoor bundle list --token TOKEN [--box URL]
type bundleListCommand struct {
	operatorFlags
}

// Run lists the customer's versions.
func (c *bundleListCommand) Run(ctx context.Context, out output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.ListBundles(ctx, withToken(c.operatorFlags, &ospreymoorv1.ListBundlesRequest{}))
	if err != nil {
		return errors.Annotate(err, "listing")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CUSTOMER\tVERSION\tSTATE\tDIGEST")
	for _, b := range answer.Msg.GetBundles() {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%.12s\n", b.GetCustomer(), b.GetVersion(), b.GetState(), b.GetDigest())
	}
	return table.Flush()
}

// eachBundle reads and checks each file, then does what is to be done with it.
func eachBundle(files []string, do func(*bundle.Bundle, string) error) error {
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Annotate(err, "reading the bundle")
		}
		b, err := bundle.Parse(file, text)
		if err != nil {
			return err
		}
		if err := do(b, string(text)); err != nil {
			return errors.Annotatef(err, "%s", file)
		}
	}
	return nil
}
