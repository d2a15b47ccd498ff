package experiment

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Command returns the command "measure" of balsamdev.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "measure",
		Usage:     "run a named measurement and print its result as one JSON line",
		ArgsUsage: "NAME",
		Description: "Names: " + strings.Join(Names(), ", ") +
			". Ends with exit code 1 when a figure misses its bound.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random number generator", Value: 1},
			&cli.FloatFlag{Name: "scale", Usage: "factor of the measurement's durations; 1 is the full length", Value: 1},
			&cli.StringFlag{Name: "folder", Usage: "keep settings and logs in `FOLDER` instead of a temporary one"},
		},
		Action: runCommand,
	}
}

func runCommand(ctx context.Context, command *cli.Command) error {
	program, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, err := Run(ctx, command.Args().First(), Env{
		Programs: filepath.Dir(program),
		Folder:   command.String("folder"),
		Seed:     command.Uint64("seed"),
		Scale:    command.Float("scale"),
	})
	if err != nil {
		return err
	}
	fmt.Println(result)
	if !result.Met() {
		return Error.New("%s: a figure misses its bound", result.Name)
	}
	return nil
}
