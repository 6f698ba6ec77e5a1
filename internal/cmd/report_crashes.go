package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/requestlog"
)

// ospreymoor report crashes [FILE...]
//
// Reads the logs of boxes of the users' platform, or standard input without a file, and prints under which
// requests upstreams crashed, by their content: how many upstreams, when, and how often boxes refused it.
type reportCrashesCommand struct {
	Files []string `arg:"" optional:"" name:"file" help:"Logs of boxes; without one, standard input."`
}

// errNoCrashes means that a log has no crashes to report.
const errNoCrashes = errors.ConstError("no upstream crashed under a request in the log: check the files")

// Run prints the report.
func (c *reportCrashesCommand) Run(_ context.Context, out output) error {
	log, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	rows := requestlog.TallyCrashes(log.Crashes, log.RefusedContents)
	if len(rows) == 0 {
		return errNoCrashes
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "CONTENT\tUPSTREAMS\tREQUESTS\tREFUSED\tFIRST\tSPAN\t\n")
	for _, row := range rows[:min(len(rows), worstRows)] {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\t\n", row.Content, row.Upstreams, row.Requests, row.Refused,
			row.First.Format(time.RFC3339Nano), row.Last.Sub(row.First).Round(time.Millisecond))
	}
	return table.Flush()
}
