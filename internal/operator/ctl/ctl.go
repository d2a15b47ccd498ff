// Package ctl is the command-line interface of balsamctl. Its commands change and show
// the operators' documents, which are stored in the platform, the external key-value
// store: the list of customers, the list of plans, and the list "out" of the zones and
// targets that are out of service. A document is in force at a node once the node uses
// it. Seeds are the balancers through which balsamctl reaches the other nodes.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/operator"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// The exit codes of balsamctl, in addition to those of the kernel.
const (
	// ExitInvalid means that a file or a list is not valid.
	ExitInvalid = 4
	// ExitRefused means that a change was not accepted and had no effect.
	ExitRefused = 5
	// ExitUnknown means that it is not known whether a change was accepted.
	ExitUnknown = 6
	// ExitNotInForce means that an accepted change was not seen in force at all
	// nodes in time.
	ExitNotInForce = 7
	// ExitAudit means that the audit trail has faults.
	ExitAudit = 8
	// ExitUnavailable means that the platform did not answer; nothing changed apart
	// from the documents that are printed as accepted.
	ExitUnavailable = 9
)

// Error is the class of errors in the arguments of the command line.
var Error = errs.Class("arguments")

// errInvalid marks errors in operators' files.
var errInvalid = errs.New("not valid")

// app is one run of balsamctl, with its standard output and error output.
type app struct {
	out    io.Writer
	errOut io.Writer
}

// Main runs a command line and returns the exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{out: out, errOut: errOut}
	root := a.root()
	err := root.Run(ctx, arguments)
	if err != nil {
		a.printError(root, err)
	}
	return exitCode(err)
}

func (a *app) root() *cli.Command {
	return &cli.Command{
		Name:    "balsamctl",
		Usage:   "edit the lists of customers and plans, take zones and targets out of service, and show what is in force",
		Version: version(),
		Writer:  a.out, ErrWriter: a.errOut,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON `FILE` with the settings", Sources: cli.EnvVars("BALSAMCTL_SETTINGS")},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and exit", Local: true},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action:         a.checkSettings,
		Commands: []*cli.Command{
			a.lint(), a.diff(), a.apply(), a.show(), a.history(), a.zone(), a.target(),
			a.audit(), a.forecast(), a.status(), a.packets(),
		},
	}
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error { return kernel.Usage(err) }

// newCommand returns a command whose usage errors lead to the exit code for usage
// errors. argsUsage describes its arguments in the help text.
func newCommand(name, usage, argsUsage string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: argsUsage, Action: action, Flags: flags, OnUsageError: usageError,
	}
}

// printError prints an error to the error output and, with --json, also as JSON to
// the standard output.
func (a *app) printError(root *cli.Command, err error) {
	fmt.Fprintf(a.errOut, "balsamctl: %v\n", err)
	if root.Bool("json") {
		_ = a.printJSON(failureOf(err))
	}
}

// failure is the JSON form of an error.
type failure struct {
	Error    string            `json:"error"`
	ExitCode int               `json:"exit_code"`
	Refusal  *operator.Refusal `json:"refusal,omitempty"`
	Problems []fileProblem     `json:"problems,omitempty"`
}

func failureOf(err error) failure {
	result := failure{Error: err.Error(), ExitCode: exitCode(err)}
	errors.As(err, &result.Refusal)
	var file *fileError
	if errors.As(err, &file) {
		result.Problems = file.problems()
	}
	return result
}

func exitCode(err error) int {
	var refusal *operator.Refusal
	switch {
	case err == nil:
		return kernel.ExitOK
	case errors.As(err, &refusal):
		return ExitRefused
	case errors.Is(err, operator.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, operator.ErrNotInForce):
		return ExitNotInForce
	case errors.Is(err, operator.ErrAuditFaults):
		return ExitAudit
	case errors.Is(err, errInvalid):
		return ExitInvalid
	case errors.Is(err, platform.ErrUnavailable):
		return ExitUnavailable
	default:
		return kernel.ExitCode(err)
	}
}

func version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}
