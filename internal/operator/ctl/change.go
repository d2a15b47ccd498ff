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

// changeOutput is the output of the commands that change a document.
type changeOutput struct {
	Documents []operator.Result     `json:"documents"`
	Seeds     []operator.PushResult `json:"seeds"`
	InForce   *operator.InForce     `json:"in_force,omitempty"`
	Warnings  []string              `json:"warnings"`
}

// retryInterval is the pause between two attempts while the platform does not
// answer.
const retryInterval = 500 * time.Millisecond

// changeFlags returns the flags of every command that changes a document.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME`, as in 10s, until the change is in force at all nodes"},
		&cli.DurationFlag{Name: "retry", Usage: "retry for up to `TIME` while the platform does not answer"},
	}
}

// retry repeats a change while the platform does not answer, until the time of
// --retry is over. A change that was accepted in an earlier attempt changes
// nothing in a later one.
func retry(ctx context.Context, command *cli.Command, change func() error) error {
	deadline := time.Now().Add(command.Duration("retry"))
	for {
		err := change()
		unanswered := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, operator.ErrOutcomeUnknown)
		if !unanswered || time.Now().Add(retryInterval).After(deadline) {
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
	return newCommand("apply", "make the contents of the files the current lists", "FILE...", withSession(a.runApply), append(changeFlags(),
		&cli.StringSliceFlag{Name: "if-revision", Usage: "refuse the change unless revision `[LIST=]N` is in force, as in 7 or plans=7"},
		&cli.BoolFlag{Name: "confirm-cut", Usage: "allow reductions below what customers have used this month"})...)
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
	run := s.newChangeRun(ctx)
	var results []operator.Result
	err = retry(ctx, command, func() error {
		latest, err := run.editor.Apply(ctx, contentsOf(files), conditions)
		// Keep what earlier attempts have changed.
		results = slices.DeleteFunc(results, func(r operator.Result) bool { return !r.Changed })
		results = append(results, latest...)
		return err
	})
	if problem := operator.CheckPlanReferences(ctx, s.store); problem != nil && len(results) > 0 {
		run.warnings = append(run.warnings, "customers without a plan get nothing: "+problem.Error())
	}
	return a.reportChange(ctx, command, run, results, err)
}

// changeRun makes changes and pushes the accepted ones to the seeds immediately.
type changeRun struct {
	editor *operator.Editor
	fleet  *operator.Fleet
	pushes []operator.PushResult
	// warnings are printed together with what was accepted.
	warnings []string
}

// newChangeRun finds the seeds before any change is made, since the platform may
// fail after it.
func (s *session) newChangeRun(ctx context.Context) *changeRun {
	run := &changeRun{warnings: []string{}, editor: operator.NewEditor(s.store, s.settings.Author), fleet: s.fleet(ctx)}
	run.editor.OnAccepted = func(result operator.Result) {
		run.pushes = append(run.pushes, run.fleet.PushDocument(ctx, result)...)
	}
	return run
}

// conditionsOf returns the conditions that the flags give. A revision without a
// list applies to the only file.
func conditionsOf(command *cli.Command, files []file) (operator.Conditions, error) {
	conditions := operator.Conditions{
		IfRevision: map[model.DocumentKind]model.Revision{}, ConfirmReductions: command.Bool("confirm-cut"),
	}
	for _, text := range command.StringSlice("if-revision") {
		name, number, named := strings.Cut(text, "=")
		if !named {
			name, number = files[0].content.Kind().String(), text
		}
		if !named && len(files) > 1 {
			return conditions, Error.New("--if-revision %s: with several files the list must be named, as in plans=%s", text, text)
		}
		kind, known := plan.KindByName(name)
		revision, err := strconv.ParseUint(number, 10, 64)
		if !known || err != nil {
			return conditions, Error.New("--if-revision %s: allowed: N, customers=N, plans=N or out=N", text)
		}
		conditions.IfRevision[kind] = model.Revision(revision)
	}
	return conditions, nil
}

// reportChange waits for the nodes if --wait is given, and prints what was
// accepted, even if a later document failed.
func (a *app) reportChange(
	ctx context.Context, command *cli.Command, run *changeRun, results []operator.Result, changeErr error,
) error {
	if len(results) == 0 {
		return changeErr
	}
	output := changeOutput{Documents: results, Seeds: append([]operator.PushResult{}, run.pushes...), Warnings: run.warnings}
	var waitErr error
	if limit := command.Duration("wait"); limit > 0 {
		output.InForce, waitErr = wait(ctx, run.fleet, results, limit)
	}
	err := a.print(command, output, func(w io.Writer) { printChanged(w, output) })
	return errors.Join(changeErr, waitErr, err)
}

func wait(
	ctx context.Context, fleet *operator.Fleet, results []operator.Result, limit time.Duration,
) (*operator.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	found, err := fleet.Wait(ctx, operator.RequiredRevisions(results))
	return &found, err
}

func printChanged(w io.Writer, output changeOutput) {
	for _, result := range output.Documents {
		printResult(w, result)
	}
	for _, seed := range output.Seeds {
		if seed.Error != "" {
			fmt.Fprintf(w, "seed %s did not accept %s immediately: %s\n", seed.Seed, seed.Document, seed.Error)
		}
	}
	for _, warning := range output.Warnings {
		fmt.Fprintf(w, "WARNING: %s\n", warning)
	}
	if output.InForce != nil {
		behind := len(output.InForce.Behind)
		fmt.Fprintf(w, "in force at %d of %d nodes after %d ms\n", output.InForce.Nodes-behind, output.InForce.Nodes, output.InForce.Millis)
	}
}

// fileDiff is the output of diff for one file.
type fileDiff struct {
	File        string            `json:"file"`
	Document    string            `json:"document"`
	Revision    model.Revision    `json:"revision"`
	Differences []plan.Difference `json:"differences"`
}

func (a *app) diff() *cli.Command {
	return newCommand("diff", "show what applying the files would change", "FILE...", withSession(a.runDiff))
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
	var list []fileDiff
	for _, f := range files {
		stored := state.Stored[f.content.Kind()]
		differences := append([]plan.Difference{}, plan.Diff(stored.Document.Content, f.content)...)
		list = append(list, fileDiff{f.name, stored.Kind.String(), stored.Revision, differences})
	}
	return a.print(command, map[string][]fileDiff{"files": list}, func(w io.Writer) {
		for _, d := range list {
			fmt.Fprintf(w, "%s: %d differences from %s at revision %d\n", d.File, len(d.Differences), d.Document, d.Revision)
			printDifferences(w, d.Differences)
		}
	})
}

// resource is a kind of resource that can be taken out of service.
type resource struct {
	// command is the name of the command, name the term in messages, and argument
	// the placeholder in the help text.
	command  string
	name     string
	argument string
	// set takes the named resource out of service or returns it.
	set func(ctx context.Context, e *operator.Editor, name string, out bool) (operator.Result, error)
	// known reports whether a seed knows a node of the named resource.
	known func(ctx context.Context, f *operator.Fleet, name string) bool
}

func (a *app) zone() *cli.Command {
	return a.resourceCommand(resource{
		command: "zone", name: "availability zone", argument: "ZONE",
		set: func(ctx context.Context, e *operator.Editor, name string, out bool) (operator.Result, error) {
			return e.SetZone(ctx, model.Zone(name), out)
		},
		known: func(ctx context.Context, f *operator.Fleet, name string) bool {
			return f.Knows(ctx, model.Zone(name), "")
		},
	})
}

func (a *app) target() *cli.Command {
	return a.resourceCommand(resource{
		command: "target", name: "target", argument: "NODE",
		set: func(ctx context.Context, e *operator.Editor, name string, out bool) (operator.Result, error) {
			return e.SetTarget(ctx, model.NodeID(name), out)
		},
		known: func(ctx context.Context, f *operator.Fleet, name string) bool {
			return f.Knows(ctx, "", model.NodeID(name))
		},
	})
}

func (a *app) resourceCommand(r resource) *cli.Command {
	group := newCommand(r.command, "take out of service or return: "+r.name, "", needOutOrReturn)
	group.Commands = []*cli.Command{
		newCommand("out", "take it out of service", r.argument, a.setOut(r, true), changeFlags()...),
		newCommand("return", "return it to service", r.argument, a.setOut(r, false), changeFlags()...),
	}
	return group
}

func needOutOrReturn(context.Context, *cli.Command) error {
	return kernel.Usage(Error.New("one of the commands out and return is required"))
}

func (a *app) setOut(r resource, out bool) cli.ActionFunc {
	return withSession(func(ctx context.Context, command *cli.Command, s *session) error {
		if command.Args().Len() != 1 {
			return kernel.Usage(Error.New("exactly one %s is required", r.argument))
		}
		name := command.Args().First()
		run := s.newChangeRun(ctx)
		var result operator.Result
		err := retry(ctx, command, func() (err error) {
			result, err = r.set(ctx, run.editor, name, out)
			return err
		})
		if err != nil {
			return err
		}
		if out && !r.known(ctx, run.fleet, name) {
			run.warnings = append(run.warnings, fmt.Sprintf("no node is known of %s %q; check the name", r.name, name))
		}
		return a.reportChange(ctx, command, run, []operator.Result{result}, nil)
	})
}
