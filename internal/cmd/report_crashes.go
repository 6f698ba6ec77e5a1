package cmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/requestlog"
)

// reportCrashesCommand reads the logs of boxes on the users' platform, or standard input without a file. It
// prints the contents of requests under which upstreams crashed: how many upstreams, under how many requests
// and when, and how often boxes refused that content. Then it prints the same for the shared parts of their prompts,
// with how many requests with that part were answered.
//
//	ospreymoor report crashes [FILE...]
type reportCrashesCommand struct {
	Files []string `arg:"" optional:"" name:"file" help:"Logs of boxes; without one, standard input."`
}

// errNoCrashes means that the logs contain no crashes.
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
	if err := printCrashes(out, rows); err != nil {
		return err
	}
	parts := requestlog.TallyParts(log.Crashes, log.AnsweredParts)
	if len(parts) == 0 {
		return nil
	}
	return printPartCrashes(out, parts)
}

func printCrashes(out io.Writer, rows []requestlog.CrashSummary) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "CONTENT\tUPSTREAMS\tREQUESTS\tREFUSED\tFIRST\tSPAN\t\n")
	for _, row := range rows[:min(len(rows), maxRows)] {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\t\n", row.Content, row.Upstreams, row.Requests, row.Refused,
			row.First.Format(time.RFC3339Nano), row.Last.Sub(row.First).Round(time.Millisecond))
	}
	return table.Flush()
}

func printPartCrashes(out io.Writer, rows []requestlog.PartSummary) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "\nPART\tUPSTREAMS\tREQUESTS\tANSWERED\tFIRST\tSPAN\t\n")
	for _, row := range rows[:min(len(rows), maxRows)] {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\t\n", row.Part, row.Upstreams, row.Requests, row.Answered,
			row.First.Format(time.RFC3339Nano), row.Last.Sub(row.First).Round(time.Millisecond))
	}
	return table.Flush()
}
