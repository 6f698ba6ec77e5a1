package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
)

// reportBurnCommand prints the error budgets and burn rates of the customer's models. The report adds up the
// counters of all boxes that answer, and of those whose counters other boxes keep.
//
//	ospreymoor report burn --token TOKEN [--box URL] [--format table|json|svg]
type reportBurnCommand struct {
	operatorFlags
	Format string `name:"format" default:"table" enum:"table,json,svg" help:"table, json or svg (a picture)."`
}

// Run prints the report.
func (c *reportBurnCommand) Run(ctx context.Context, out output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.GetBurn(ctx, withToken(c.operatorFlags, &ospreymoorv1.GetBurnRequest{}))
	if err != nil {
		return errors.Annotate(err, "asking for the burn report")
	}
	switch c.Format {
	case "json":
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer.Msg)
	case "svg":
		return drawBurn(out, answer.Msg)
	default:
		return printBurn(out, answer.Msg)
	}
}

// printBurn prints the report as a table.
func printBurn(out output, report *ospreymoorv1.GetBurnResponse) error {
	_, _ = fmt.Fprintf(out, "since %s, from %d boxes", report.GetSince().AsTime().Format("2006-01-02 15:04"), len(report.GetBoxes()))
	if missing := report.GetMissing(); len(missing) > 0 {
		_, _ = fmt.Fprintf(out, "; no answer from %s", strings.Join(missing, ", "))
	}
	_, _ = fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "MODEL\tREQUESTS\tWITHIN\tTARGET\tBUDGET LEFT\tBURN 10M\tBURN 1H\tFAILED\tREFUSED\t")
	for _, line := range report.GetLines() {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%.1f\t%.1f\t%d\t%s\t\n",
			line.GetModel(), line.GetRequests(), share(line.GetWithinTarget(), line.GetRequests()),
			percent(line.GetObjective()), percent(line.GetBudgetLeft()),
			line.GetBurnShort(), line.GetBurnLong(), line.GetFailed(), reasons(line.GetRefused()))
	}
	return table.Flush()
}

// share returns part of whole in percent, or a dash if whole is 0.
func share(part, whole uint64) string {
	if whole == 0 {
		return "-"
	}
	return percent(float64(part) / float64(whole))
}

func percent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }

// reasons returns the number of refusals for each reason, the most frequent first.
func reasons(refused map[string]uint64) string {
	if len(refused) == 0 {
		return "0"
	}
	names := make([]string, 0, len(refused))
	for reason := range refused {
		names = append(names, reason)
	}
	sort.Slice(names, func(i, j int) bool {
		if refused[names[i]] != refused[names[j]] {
			return refused[names[i]] > refused[names[j]]
		}
		return names[i] < names[j]
	})
	parts := make([]string, 0, len(names))
	for _, reason := range names {
		parts = append(parts, fmt.Sprintf("%d %s", refused[reason], reason))
	}
	return strings.Join(parts, ", ")
}
