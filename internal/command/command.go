// Package command builds the command lines of the programs that run as
// processes of the system.
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

// Process describes a program that runs with settings of type T.
type Process[T any] struct {
	Name  string
	Usage string
	// Load reads the settings file at a path and checks it in full.
	Load func(path string) (T, error)
	// EnvVar names the environment variable that stands in for the flag
	// --settings; empty means that there is none.
	EnvVar string
	// LogLevel returns the log level that the settings ask for.
	LogLevel func(T) string
	// Check checks settings without opening anything.
	Check func(T, *logrus.Entry) error
	// Run runs the process until it is told to end.
	Run func(context.Context, T, *logrus.Entry) error
}

// Main runs a program and returns its exit code.
func (p Process[T]) Main(arguments []string) int {
	return Execute(p.command(), arguments)
}

// Execute runs a command line and returns the exit code.
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

// markUsageErrors gives bad arguments of a command and all below it their exit
// code.
func markUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return kernel.Usage(err)
	}
	for _, below := range command.Commands {
		markUsageErrors(below)
	}
}

func (p Process[T]) command() *cli.Command {
	return &cli.Command{
		Name:  p.Name,
		Usage: p.Usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON `FILE` with the settings", Required: true, Sources: p.sources()},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and end"},
		},
		Action: p.act,
	}
}

func (p Process[T]) sources() cli.ValueSourceChain {
	if p.EnvVar == "" {
		return cli.ValueSourceChain{}
	}
	return cli.EnvVars(p.EnvVar)
}

func (p Process[T]) act(ctx context.Context, command *cli.Command) error {
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

func version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}
