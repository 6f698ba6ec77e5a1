package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/juju/errors"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
)

// bundleListCommand lists the customer's signed-off bundle versions.
//
//	ospreymoor bundle list --token TOKEN [--box URL]
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
