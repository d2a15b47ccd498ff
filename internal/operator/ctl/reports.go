package ctl

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/audit"
	"github.com/balsamlink/balsamlink/internal/billing"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/operator"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/status"
)

// documentOutput is the output of show for a document.
type documentOutput struct {
	Document string `json:"document"`
	plan.Header
	Content plan.Content `json:"content"`
}

func (a *app) show() *cli.Command {
	return newCommand("show", "print a document in force, as a file for apply", "customers|plans|out", withSession(
		func(ctx context.Context, command *cli.Command, s *session) error {
			kind, err := kindArgument(command)
			if err != nil {
				return err
			}
			state, err := operator.ReadDocuments(ctx, s.store)
			if err != nil {
				return err
			}
			stored := state.Stored[kind]
			if stored.Damaged != nil {
				return stored.Damaged
			}
			if !stored.Exists() {
				return Error.New("document %s does not exist yet", kind)
			}
			content := stored.Document.Content.Normalized()
			if command.Bool("json") {
				return a.printJSON(documentOutput{kind.String(), stored.Document.Header, content})
			}
			return a.printJSON(content)
		}))
}

func kindArgument(command *cli.Command) (model.DocumentKind, error) {
	kind, known := plan.KindByName(command.Args().First())
	if !known || command.Args().Len() != 1 {
		return 0, kernel.Usage(Error.New("one of customers, plans and out is required"))
	}
	return kind, nil
}

func (a *app) history() *cli.Command {
	return newCommand("history", "list the accepted and refused changes of a document", "customers|plans|out", withSession(
		func(ctx context.Context, command *cli.Command, s *session) error {
			kind, err := kindArgument(command)
			if err != nil {
				return err
			}
			filter := func(entry audit.Entry) bool { return entry.Document == kind.String() }
			report, err := operator.Audit(ctx, s.store, filter)
			if limit := command.Int("limit"); limit > 0 && len(report.Entries) > limit {
				report.Entries = report.Entries[len(report.Entries)-limit:]
			}
			return a.printAudit(command, report, err)
		}), &cli.IntFlag{Name: "limit", Usage: "print the newest `N` changes; 0 for all", Value: defaultHistoryLimit})
}

const defaultHistoryLimit = 20

func (a *app) audit() *cli.Command {
	return newCommand("audit", "check the audit trail and list its entries", " ", withSession(
		func(ctx context.Context, command *cli.Command, s *session) error {
			since, err := parseSince(command.String("since"), time.Now())
			if err != nil {
				return kernel.Usage(err)
			}
			report, err := operator.Audit(ctx, s.store, func(entry audit.Entry) bool { return !entry.Time.Before(since) })
			return a.printAudit(command, report, err)
		}), &cli.StringFlag{Name: "since", Usage: "list entries since `TIME`, as in 2026-12-04, 2026-12-04T06:00:00Z or 24h"})
}

// parseSince parses a day in UTC, a point in time or a duration before now.
func parseSince(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil && ago >= 0 {
		return now.Add(-ago), nil
	}
	for _, layout := range []string{time.DateOnly, time.RFC3339} {
		if at, err := time.Parse(layout, text); err == nil {
			return at, nil
		}
	}
	return time.Time{}, Error.New("--since %s: allowed: a day, a time with its time zone or a duration", text)
}

func (a *app) printAudit(command *cli.Command, report operator.AuditReport, err error) error {
	if err != nil && !errors.Is(err, operator.ErrAuditFaults) {
		return err
	}
	printErr := a.print(command, report, func(w io.Writer) {
		for _, entry := range report.Entries {
			printEntry(w, entry)
		}
		for _, document := range report.Pending {
			fmt.Fprintf(w, "the newest change of %s is added to the trail with the next change\n", document)
		}
		for _, fault := range report.Faults {
			fmt.Fprintf(w, "FAULT segment %d entry %d: %s\n", fault.Segment, fault.Sequence, fault.Reason)
		}
		fmt.Fprintf(w, "end of the trail: entry %d, hash %s\n", report.Head.Sequence, report.Head.Hash)
	})
	return errors.Join(err, printErr)
}

func printEntry(w io.Writer, entry audit.Entry) {
	revisions := fmt.Sprintf("%d -> %d", entry.From, entry.To)
	if entry.Outcome == audit.Refused {
		revisions = fmt.Sprintf("at %d", entry.From)
	}
	fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", entry.Sequence, entry.Time.Format(time.RFC3339), entry.Author, entry.Document, entry.Outcome, revisions)
	if entry.Reason != "" {
		fmt.Fprintf(w, "  %s\n", entry.Reason)
	}
	for _, line := range entry.Changes {
		fmt.Fprintf(w, "  %s\n", line)
	}
}

func (a *app) forecast() *cli.Command {
	const usage = "forecast next month's bills for the lists in force or in files"
	return newCommand("forecast", usage, "[FILE FILE]", a.runForecast,
		&cli.BoolFlag{Name: "csv", Usage: "print one CSV row for each customer and service"},
		&cli.BoolFlag{Name: "offline", Usage: "compute the highest possible bills from the files alone"})
}

func (a *app) runForecast(ctx context.Context, command *cli.Command) error {
	if command.Bool("offline") {
		lists, err := listsOf(command)
		if err != nil {
			return err
		}
		now := time.Now()
		forecast, err := billing.NewForecast(lists, billing.NewUsage(billing.MonthOf(now), nil), now)
		if err != nil {
			return err
		}
		return a.showForecast(command, forecast)
	}
	return withSession(func(ctx context.Context, command *cli.Command, s *session) error {
		lists, err := s.lists(ctx, command)
		if err != nil {
			return err
		}
		forecast, err := operator.Forecast(ctx, s.store, lists, time.Now())
		if err != nil {
			return err
		}
		return a.showForecast(command, forecast)
	})(ctx, command)
}

// lists returns the lists in the files or, if no files are given, those in force.
func (s *session) lists(ctx context.Context, command *cli.Command) (plan.Lists, error) {
	if command.Args().Present() {
		return listsOf(command)
	}
	return operator.CurrentLists(ctx, s.store)
}

// listsOf returns the lists in the files that are the arguments of a command.
func listsOf(command *cli.Command) (plan.Lists, error) {
	files, err := readFiles(command.Args().Slice())
	if err != nil {
		return plan.Lists{}, err
	}
	var lists plan.Lists
	for _, f := range files {
		switch content := f.content.(type) {
		case plan.Customers:
			lists.Customers = content
		case plan.Plans:
			lists.Plans = content
		}
	}
	if lists.Customers.Customers == nil || lists.Plans.Plans == nil {
		return plan.Lists{}, kernel.Usage(Error.New("a file of customers and one of plans are required"))
	}
	return lists, nil
}

func (a *app) showForecast(command *cli.Command, forecast billing.Forecast) error {
	if command.Bool("csv") {
		return writeCSV(a.out, forecast)
	}
	return a.print(command, forecast, func(w io.Writer) { printForecast(w, forecast) })
}

func printForecast(w io.Writer, forecast billing.Forecast) {
	fmt.Fprintf(w, "bills for %s in %s; present rate from the usage of %s until %s\n\n",
		forecast.Month, forecast.Currency, forecast.MeteredMonth, forecast.MeteredUntil.Format(time.RFC3339))
	fmt.Fprintln(w, "CUSTOMER\tPLAN\tMOST POSSIBLE\tAT PRESENT RATE")
	for _, bill := range forecast.Bills {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", bill.Customer, bill.Plan, bill.Maximum, bill.RunRate)
	}
	fmt.Fprintf(w, "all\t\t%s\t%s\n", forecast.Maximum, forecast.RunRate)
}

var csvHeader = []string{
	"month", "currency", "customer", "plan", "item", "units_per_month", "unit_price", "most_possible",
	"used_units", "run_rate_units", "run_rate",
}

// writeCSV writes a row for the fee and for each service of each customer, so that
// the sums of the columns most_possible and run_rate are the two forecast totals.
func writeCSV(out io.Writer, forecast billing.Forecast) error {
	w := csv.NewWriter(out)
	rows := [][]string{csvHeader}
	for _, bill := range forecast.Bills {
		prefix := []string{string(forecast.Month), forecast.Currency, string(bill.Customer), string(bill.Plan)}
		fee := bill.MonthlyFee.String()
		// The capacity of 4 in prefix[:4:4] makes each append copy the prefix.
		rows = append(rows, append(prefix[:4:4], "monthly_fee", "", "", fee, "", "", fee))
		for _, line := range bill.Lines {
			rows = append(rows, append(prefix[:4:4], string(line.Service),
				strconv.FormatUint(line.UnitsPerMonth, 10), line.UnitPrice.String(), line.Maximum.String(),
				strconv.FormatUint(line.UsedUnits, 10), strconv.FormatUint(line.RunRateUnits, 10), line.RunRate.String()))
		}
	}
	if err := w.WriteAll(rows); err != nil {
		return err
	}
	return w.Error()
}

// nodeOutput is the output of status for a node.
type nodeOutput struct {
	Node    model.NodeID      `json:"node"`
	Role    string            `json:"role"`
	Zone    model.Zone        `json:"zone"`
	State   string            `json:"state"`
	Control string            `json:"control"`
	InForce *revisionsInForce `json:"in_force,omitempty"`
	Report  *status.Report    `json:"report"`
	Error   string            `json:"error,omitempty"`
}

func (a *app) status() *cli.Command {
	return newCommand("status", "show all nodes and the revisions in force at each", " ", withSession(
		func(ctx context.Context, command *cli.Command, s *session) error {
			nodes, err := s.fleet(ctx).Status(ctx)
			if err != nil {
				return err
			}
			list := []nodeOutput{}
			for _, node := range nodes {
				list = append(list, nodeOutputOf(node))
			}
			return a.print(command, map[string][]nodeOutput{"nodes": list}, func(w io.Writer) { printStatus(w, list) })
		}))
}

// revisionsInForce holds the revisions in force at a node.
type revisionsInForce struct {
	Customers model.Revision `json:"customers"`
	Plans     model.Revision `json:"plans"`
	Out       model.Revision `json:"out"`
}

// nodeOutputOf takes the state from the node's own report if there is one, else
// from the seed's membership.
func nodeOutputOf(node operator.NodeStatus) nodeOutput {
	member := node.Member
	result := nodeOutput{
		Node: member.Node, Role: member.Role.String(), Zone: member.Zone, State: member.State.String(),
		Control: member.Control.String(), Report: node.Report, Error: node.Error,
	}
	if node.Report != nil {
		revisions := node.Report.Revisions
		result.State = node.Report.State.String()
		result.InForce = &revisionsInForce{
			Customers: revisions[model.DocumentCustomers], Plans: revisions[model.DocumentPlans],
			Out: revisions[model.DocumentOutOfService],
		}
	}
	return result
}

func printStatus(w io.Writer, nodes []nodeOutput) {
	fmt.Fprintln(w, "NODE\tROLE\tZONE\tSTATE\tCUSTOMERS\tPLANS\tOUT\tVIEW")
	for _, node := range nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s", node.Node, node.Role, node.Zone, node.State)
		if node.Report == nil {
			fmt.Fprintf(w, "\tno answer: %s\n", node.Error)
			continue
		}
		for _, revision := range node.Report.Revisions {
			fmt.Fprintf(w, "\t%d", revision)
		}
		fmt.Fprintf(w, "\t%d\n", node.Report.ViewSize)
	}
}
