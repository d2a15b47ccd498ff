package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/operator"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// changed is what the verbs that change a document print.
type changed struct {
	Documents []operator.Result `json:"documents"`
	Seeds     []operator.Spread `json:"seeds"`
	InForce   *operator.InForce `json:"in_force,omitempty"`
}

var waitFlag = &cli.DurationFlag{
	Name: "wait", Usage: "wait `TIME` until all nodes have the change in force, as in 10s",
}

func (a *app) apply() *cli.Command {
	return verb("apply", "make the lists of the files the current ones", "FILE...", within(a.runApply),
		&cli.StringSliceFlag{Name: "if-revision", Usage: "refuse unless `[LIST=]N` is in force, as in 7 or plans=7"},
		&cli.BoolFlag{Name: "confirm-cut", Usage: "cut customers below what they have used this month"},
		waitFlag)
}

func (a *app) runApply(ctx context.Context, command *cli.Command, s *session) error {
	files, err := readFiles(command.Args().Slice())
	if err != nil {
		return err
	}
	conditions, err := conditionsOf(command, files)
	if err != nil {
		return kernel.Usage(err)
	}
	fleet := s.fleet(ctx)
	results, err := s.editor().Apply(ctx, contentsOf(files), conditions)
	return a.finish(ctx, command, fleet, results, err)
}

func conditionsOf(command *cli.Command, files []file) (operator.Conditions, error) {
	conditions := operator.Conditions{
		IfRevision: map[model.DocumentKind]model.Revision{}, ConfirmCut: command.Bool("confirm-cut"),
	}
	for _, text := range command.StringSlice("if-revision") {
		name, number, named := strings.Cut(text, "=")
		if !named {
			name, number = files[0].content.Kind().String(), text
		}
		if !named && len(files) > 1 {
			return conditions, fmt.Errorf("--if-revision %s: with several files name the list, as in plans=%s", text, text)
		}
		kind, known := plan.KindOf(name)
		revision, err := strconv.ParseUint(number, 10, 64)
		if !known || err != nil {
			return conditions, fmt.Errorf("--if-revision %s: allowed: N, customers=N, plans=N or out=N", text)
		}
		conditions.IfRevision[kind] = model.Revision(revision)
	}
	return conditions, nil
}

// finish spreads what was accepted, waits if asked to, and prints it, also when
// a later document failed.
func (a *app) finish(
	ctx context.Context, command *cli.Command, fleet *operator.Fleet, results []operator.Result, failed error,
) error {
	if len(results) == 0 {
		return failed
	}
	shown := changed{Documents: results, Seeds: fleet.Offer(ctx, results)}
	var waited error
	if limit := command.Duration("wait"); limit > 0 {
		shown.InForce, waited = wait(ctx, fleet, results, limit)
	}
	err := a.print(command, shown, func(w io.Writer) { printChanged(w, shown) })
	return errors.Join(failed, waited, err)
}

func wait(
	ctx context.Context, fleet *operator.Fleet, results []operator.Result, limit time.Duration,
) (*operator.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	found, err := fleet.Wait(ctx, operator.Wanted(results))
	return &found, err
}

func printChanged(w io.Writer, shown changed) {
	for _, result := range shown.Documents {
		printResult(w, result)
	}
	for _, seed := range shown.Seeds {
		if seed.Error != "" {
			fmt.Fprintf(w, "seed %s did not take it at once: %s\n", seed.Seed, seed.Error)
		}
	}
	if shown.InForce != nil {
		behind := len(shown.InForce.Behind)
		fmt.Fprintf(w, "in force at %d of %d nodes after %d ms\n", shown.InForce.Nodes-behind, shown.InForce.Nodes, shown.InForce.Millis)
	}
}

// compared is what diff prints of one file.
type compared struct {
	File        string            `json:"file"`
	Document    string            `json:"document"`
	Revision    model.Revision    `json:"revision"`
	Differences []plan.Difference `json:"differences"`
}

func (a *app) diff() *cli.Command {
	return verb("diff", "show what applying the files would change", "FILE...", within(a.runDiff))
}

func (a *app) runDiff(ctx context.Context, command *cli.Command, s *session) error {
	files, err := readFiles(command.Args().Slice())
	if err != nil {
		return err
	}
	state, err := operator.ReadDocuments(ctx, s.store)
	if err != nil {
		return err
	}
	var list []compared
	for _, f := range files {
		held := state.Held[f.content.Kind()]
		differences := append([]plan.Difference{}, plan.Diff(held.Document.Content, f.content)...)
		list = append(list, compared{f.name, held.Kind.String(), held.Revision, differences})
	}
	return a.print(command, map[string][]compared{"files": list}, func(w io.Writer) {
		for _, c := range list {
			fmt.Fprintf(w, "%s: %d differences from %s at revision %d\n", c.File, len(c.Differences), c.Document, c.Revision)
			printDifferences(w, c.Differences)
		}
	})
}

func (a *app) zone() *cli.Command {
	return a.outVerbs("zone", "availability zone", "ZONE", func(ctx context.Context, e *operator.Editor, name string, out bool) (operator.Result, error) {
		return e.SetZone(ctx, model.Zone(name), out)
	})
}

func (a *app) target() *cli.Command {
	return a.outVerbs("target", "target", "NODE", func(ctx context.Context, e *operator.Editor, name string, out bool) (operator.Result, error) {
		return e.SetTarget(ctx, model.NodeID(name), out)
	})
}

func needOutOrReturn(context.Context, *cli.Command) error {
	return kernel.Usage(errors.New("out or return is needed"))
}

// setOut takes something out of service or returns it.
type setOut func(ctx context.Context, e *operator.Editor, name string, out bool) (operator.Result, error)

func (a *app) outVerbs(name, thing, argument string, set setOut) *cli.Command {
	run := func(out bool) cli.ActionFunc {
		return within(func(ctx context.Context, command *cli.Command, s *session) error {
			if command.Args().Len() != 1 {
				return kernel.Usage(fmt.Errorf("one %s is needed", argument))
			}
			fleet := s.fleet(ctx)
			result, err := set(ctx, s.editor(), command.Args().First(), out)
			if err != nil {
				return err
			}
			return a.finish(ctx, command, fleet, []operator.Result{result}, nil)
		})
	}
	group := verb(name, "take out of service or return: "+thing, "", needOutOrReturn)
	group.Commands = []*cli.Command{
		verb("out", "take it out of service", argument, run(true), waitFlag),
		verb("return", "return it to service", argument, run(false), waitFlag),
	}
	return group
}
