package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/requestlog"
	"ospreymoor.example/ospreymoor/pkg/burn"
)

// reportRequestsCommand reads the logs of boxes on the users' platform, or standard input without a file,
// and prints how requests ended: by route, customer, model, reason and second, the ten worst of each.
//
//	ospreymoor report requests [FILE...] [--from 10s] [--to 20s] [--objective 0.95] [--picture FILE]
type reportRequestsCommand struct {
	Files     []string      `arg:"" optional:"" name:"file" help:"Logs of boxes; without one, standard input."`
	From      time.Duration `name:"from" default:"0s" help:"Begin of the span, from the first request that ended."`
	To        time.Duration `name:"to" default:"0s" help:"End of the span; 0 is the end of the log."`
	Objective float64       `name:"objective" default:"0.95" help:"Share of requests to serve in time."`
	Picture   string        `name:"picture" help:"File for a picture (SVG) over time."`
}

// errNoRequests means that the logs contain no requests within the span.
const errNoRequests = errors.ConstError("no request ended in the log or span: check the files, --from and --to")

// maxRows is the maximum number of rows of a table; the worst come first.
const maxRows = 10

// Run prints the report.
func (c *reportRequestsCommand) Run(_ context.Context, out output) error {
	if err := c.check(); err != nil {
		return err
	}
	log, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	requests := requestlog.Span(log.Requests, c.From, c.To)
	_, _ = fmt.Fprintf(out, "%d requests of %d log lines", len(requests), log.Lines)
	if log.Skipped > 0 {
		_, _ = fmt.Fprintf(out, "; %d lines passed over that are no log lines", log.Skipped)
	}
	_, _ = fmt.Fprintln(out)
	if len(requests) == 0 {
		return errNoRequests
	}
	if err := c.print(out, requests); err != nil {
		return err
	}
	if c.Picture == "" {
		return nil
	}
	return c.draw(requests)
}

func (c *reportRequestsCommand) check() error {
	switch {
	case c.From < 0:
		return settingsError("--from is %v: give 0 or more", c.From)
	case c.To != 0 && c.To <= c.From:
		return settingsError("--to is %v: give 0, or more than --from (%v)", c.To, c.From)
	case c.Objective <= 0 || c.Objective >= 1:
		return settingsError("--objective is %v: give more than 0 and less than 1", c.Objective)
	}
	return nil
}

// readLogs reads all logs that the command line names, or standard input if it names none.
func readLogs(files []string) (requestlog.Log, error) {
	var log requestlog.Log
	if len(files) == 0 {
		return log, log.Read(os.Stdin)
	}
	for _, name := range files {
		if err := readLogFile(&log, name); err != nil {
			return log, err
		}
	}
	return log, nil
}

func readLogFile(log *requestlog.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return settingsError("%v: give the file of a box's log", err)
	}
	defer func() { _ = file.Close() }() // The file was only read, so an error of Close is ignored.
	return errors.Annotate(log.Read(file), name)
}

func (c *reportRequestsCommand) print(out io.Writer, requests []requestlog.Request) error {
	first := requestlog.First(requests)
	groups := []struct {
		title string
		key   func(requestlog.Request) string
	}{
		{"ROUTE", func(r requestlog.Request) string { return r.Route }},
		{"CUSTOMER", func(r requestlog.Request) string { return r.Customer }},
		{"MODEL", func(r requestlog.Request) string { return r.Model }},
		{"REASON", func(r requestlog.Request) string { return r.Reason }},
		{"SECOND", func(r requestlog.Request) string { return fmt.Sprint(int(r.Ended.Sub(first).Seconds())) }},
	}
	for _, group := range groups {
		if err := printTally(out, group.title, requestlog.Tally(requests, group.key)); err != nil {
			return err
		}
	}
	return c.printBurn(out, requests)
}

func printTally(out io.Writer, title string, rows []requestlog.Row) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "\n%s\tREQUESTS\tIN TIME\tLATE FIRST\tLATE PAUSE\tREFUSED\tFAILED\tCALLER LEFT\t\n", title)
	for _, row := range rows[:min(len(rows), maxRows)] {
		_, _ = fmt.Fprintf(table, "%s\t%d\t", row.Name, row.Total())
		for _, outcome := range requestlog.Outcomes {
			_, _ = fmt.Fprintf(table, "%d\t", row.Counts[outcome])
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

// printBurn prints the error budget of each route against the objective, the worst route first.
func (c *reportRequestsCommand) printBurn(out io.Writer, requests []requestlog.Request) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "\nROUTE\tWITHIN\tTARGET\tBUDGET LEFT\tBURN\t\n")
	for _, status := range burnByRoute(requests, c.Objective) {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f\t\n",
			status.Model, share(status.Within, status.Requests), percent(status.Objective), percent(status.BudgetLeft), status.BurnLong)
	}
	return table.Flush()
}

// burnByRoute returns the error budget of each route. Requests without a route, or whose caller left, do not
// count.
func burnByRoute(requests []requestlog.Request, objective float64) []burn.Status {
	counts := map[string]*burn.Counts{}
	var last time.Time
	for _, request := range requests {
		if request.Outcome == requestlog.CallerLeft || request.Route == "" {
			continue
		}
		if counts[request.Route] == nil {
			counts[request.Route] = &burn.Counts{Model: request.Route, Objective: objective}
		}
		counts[request.Route].Count(request.Ended, burnResults[request.Outcome], request.Reason)
		if request.Ended.After(last) {
			last = request.Ended
		}
	}
	var snapshot burn.Snapshot
	for _, line := range counts {
		snapshot.Lines = append(snapshot.Lines, *line)
	}
	return burn.Report([]burn.Snapshot{snapshot}, last)
}

var burnResults = map[requestlog.Outcome]burn.Result{
	requestlog.InTime:    burn.WithinTarget,
	requestlog.LateFirst: burn.Late,
	requestlog.LatePause: burn.Late,
	requestlog.Refused:   burn.Refused,
	requestlog.Failed:    burn.Failed,
}
