package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/operator"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// print writes a value as JSON if --json is given, and otherwise calls text with a
// writer that aligns tab-separated columns.
func (a *app) print(command *cli.Command, value any, text func(io.Writer)) error {
	if command.Bool("json") {
		return a.printJSON(value)
	}
	table := tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)
	text(table)
	return table.Flush()
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

func printResult(w io.Writer, result operator.Result) {
	if !result.Changed {
		fmt.Fprintf(w, "%s: nothing to change at revision %d\n", result.Document, result.Revision)
		return
	}
	fmt.Fprintf(w, "%s: accepted as revision %d (change %s)\n", result.Document, result.Revision, result.ChangeID)
	printDifferences(w, result.Differences)
	if result.AuditError != "" {
		fmt.Fprintf(w, "  the audit trail gets this change with the next command: %s\n", result.AuditError)
	}
}

func printDifferences(w io.Writer, differences []plan.Difference) {
	for _, line := range plan.Describe(differences) {
		fmt.Fprintf(w, "  %s\n", line)
	}
}
