// Package command implements the command lines of the programs and converts
// their errors to exit codes.
package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/observe"
)

// Process describes a daemon that reads settings of type T from a file.
type Process[T any] struct {
	Name  string
	Usage string
	// Load reads and validates the settings file at a path.
	Load func(path string) (T, error)
	// EnvVar names the environment variable that holds the path of the settings
	// file if the flag --settings is not given; empty means that there is none.
	EnvVar string
	// LogLevel returns the log level of the settings.
	LogLevel func(T) string
	// Check validates the settings without starting the process.
	Check func(T, *logrus.Entry) error
	// Run runs the process until it has shut down.
	Run func(context.Context, T, *logrus.Entry) error
}

// Main runs the program with the arguments, the first of which is its name, and
// returns its exit code.
func (p Process[T]) Main(arguments []string) int {
	return Execute(p.command(), arguments)
}

// Execute runs a command with the arguments, the first of which is its name. It
// prints an error to standard error and returns its kernel.ExitCode.
func Execute(command *cli.Command, arguments []string) int {
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	command.Version = version()
	markUsageErrors(command)
	err := command.Run(context.Background(), arguments)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name, err)
	}
	return kernel.ExitCode(err)
}

// markUsageErrors makes a command and its subcommands return a usage error for
// invalid arguments.
func markUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return kernel.Usage(err)
	}
	for _, subcommand := range command.Commands {
		markUsageErrors(subcommand)
	}
}

func (p Process[T]) command() *cli.Command {
	return &cli.Command{
		Name:  p.Name,
		Usage: p.Usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON `FILE` with the settings", Required: true, Sources: p.sources()},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and exit"},
		},
		Action: p.action,
	}
}

func (p Process[T]) sources() cli.ValueSourceChain {
	if p.EnvVar == "" {
		return cli.ValueSourceChain{}
	}
	return cli.EnvVars(p.EnvVar)
}

// action loads the settings and runs or, with --check-settings, checks the
// process.
func (p Process[T]) action(ctx context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return kernel.Usage(errors.New("argument " + command.Args().First() + " is not expected"))
	}
	loaded, err := p.Load(command.String("settings"))
	if err != nil {
		return kernel.Usage(err)
	}
	output := observe.NewOutput(os.Stdout)
	defer output.Close()
	log, err := observe.NewLog(output, p.LogLevel(loaded))
	if err != nil {
		return kernel.Usage(err)
	}
	if command.Bool("check-settings") {
		return p.Check(loaded, log)
	}
	return p.Run(ctx, loaded, log)
}

// version returns the versions of the program and of Go.
func version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}
