package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/operator"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// changed is what the verbs that change a document print.
type changed struct {
	Documents []operator.Result `json:"documents"`
	Seeds     []operator.Spread `json:"seeds"`
	InForce   *operator.InForce `json:"in_force,omitempty"`
	Warnings  []string          `json:"warnings"`
}

// retryInterval is the pause between two tries while the platform is silent.
const retryInterval = 500 * time.Millisecond

// changeFlags returns the flags of every verb that changes a document.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: "wait", Usage: "wait `TIME` until all nodes have the change in force, as in 10s"},
		&cli.DurationFlag{Name: "retry", Usage: "keep trying for `TIME` while the platform does not answer"},
	}
}

// retry tries a change again while the platform does not answer, for as long as
// the command line allows. What was accepted in an earlier try changes nothing
// in a later one.
func retry(ctx context.Context, command *cli.Command, change func() error) error {
	deadline := time.Now().Add(command.Duration("retry"))
	for {
		err := change()
		silent := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, operator.ErrOutcomeUnknown)
		if !silent || time.Now().Add(retryInterval).After(deadline) {
			return err
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

func (a *app) apply() *cli.Command {
	return verb("apply", "make the lists of the files the current ones", "FILE...", within(a.runApply), append(changeFlags(),
		&cli.StringSliceFlag{Name: "if-revision", Usage: "refuse unless `[LIST=]N` is in force, as in 7 or plans=7"},
		&cli.BoolFlag{Name: "confirm-cut", Usage: "cut customers below what they have used this month"})...)
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
	desk := s.desk(ctx)
	var results []operator.Result
	err = retry(ctx, command, func() error {
		tried, err := desk.editor.Apply(ctx, contentsOf(files), conditions)
		results = slices.DeleteFunc(results, func(r operator.Result) bool { return !r.Changed })
		results = append(results, tried...)
		return err
	})
	if dangling := operator.Dangling(ctx, s.store); dangling != nil && len(results) > 0 {
		desk.warnings = append(desk.warnings, "customers without a plan get nothing: "+dangling.Error())
	}
	return a.finish(ctx, command, desk, results, err)
}

// desk makes changes and spreads the accepted ones at once.
type desk struct {
	editor *operator.Editor
	fleet  *operator.Fleet
	spread []operator.Spread
	// warnings are told beside what was accepted.
	warnings []string
}

// desk finds the seeds before any change, for the platform may fail after it.
func (s *session) desk(ctx context.Context) *desk {
	d := &desk{warnings: []string{}, editor: operator.NewEditor(s.store, s.settings.Author), fleet: s.fleet(ctx)}
	d.editor.OnAccepted = func(result operator.Result) {
		d.spread = append(d.spread, d.fleet.PushDocument(ctx, result)...)
	}
	return d
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
			return conditions, Error.New("--if-revision %s: with several files name the list, as in plans=%s", text, text)
		}
		kind, known := plan.KindOf(name)
		revision, err := strconv.ParseUint(number, 10, 64)
		if !known || err != nil {
			return conditions, Error.New("--if-revision %s: allowed: N, customers=N, plans=N or out=N", text)
		}
		conditions.IfRevision[kind] = model.Revision(revision)
	}
	return conditions, nil
}

// finish waits if asked to and prints what was accepted, also when a later
// document failed.
func (a *app) finish(
	ctx context.Context, command *cli.Command, desk *desk, results []operator.Result, failed error,
) error {
	if len(results) == 0 {
		return failed
	}
	shown := changed{Documents: results, Seeds: append([]operator.Spread{}, desk.spread...), Warnings: desk.warnings}
	var waited error
	if limit := command.Duration("wait"); limit > 0 {
		shown.InForce, waited = wait(ctx, desk.fleet, results, limit)
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
			fmt.Fprintf(w, "seed %s did not take %s at once: %s\n", seed.Seed, seed.Document, seed.Error)
		}
	}
	for _, warning := range shown.Warnings {
		fmt.Fprintf(w, "WARNING: %s\n", warning)
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

// thing is what can be taken out of service.
type thing struct {
	verb     string
	name     string
	argument string
	set      func(ctx context.Context, e *operator.Editor, name string, out bool) (operator.Result, error)
	known    func(ctx context.Context, f *operator.Fleet, name string) bool
}

func (a *app) zone() *cli.Command {
	return a.outVerbs(thing{
		verb: "zone", name: "availability zone", argument: "ZONE",
		set: func(ctx context.Context, e *operator.Editor, name string, out bool) (operator.Result, error) {
			return e.SetZone(ctx, model.Zone(name), out)
		},
		known: func(ctx context.Context, f *operator.Fleet, name string) bool {
			return f.Knows(ctx, model.Zone(name), "")
		},
	})
}

func (a *app) target() *cli.Command {
	return a.outVerbs(thing{
		verb: "target", name: "target", argument: "NODE",
		set: func(ctx context.Context, e *operator.Editor, name string, out bool) (operator.Result, error) {
			return e.SetTarget(ctx, model.NodeID(name), out)
		},
		known: func(ctx context.Context, f *operator.Fleet, name string) bool {
			return f.Knows(ctx, "", model.NodeID(name))
		},
	})
}

func (a *app) outVerbs(t thing) *cli.Command {
	group := verb(t.verb, "take out of service or return: "+t.name, "", needOutOrReturn)
	group.Commands = []*cli.Command{
		verb("out", "take it out of service", t.argument, a.setOut(t, true), changeFlags()...),
		verb("return", "return it to service", t.argument, a.setOut(t, false), changeFlags()...),
	}
	return group
}

func needOutOrReturn(context.Context, *cli.Command) error {
	return kernel.Usage(Error.New("out or return is needed"))
}

func (a *app) setOut(t thing, out bool) cli.ActionFunc {
	return within(func(ctx context.Context, command *cli.Command, s *session) error {
		if command.Args().Len() != 1 {
			return kernel.Usage(Error.New("one %s is needed", t.argument))
		}
		name := command.Args().First()
		desk := s.desk(ctx)
		var result operator.Result
		err := retry(ctx, command, func() (err error) {
			result, err = t.set(ctx, desk.editor, name, out)
			return err
		})
		if err != nil {
			return err
		}
		if out && !t.known(ctx, desk.fleet, name) {
			desk.warnings = append(desk.warnings, fmt.Sprintf("no node is known of %s %q; check its name", t.name, name))
		}
		return a.finish(ctx, command, desk, []operator.Result{result}, nil)
	})
}
