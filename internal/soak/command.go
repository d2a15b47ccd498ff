package soak

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

// Command returns the command "soak" of balsamdev.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real processes under faults drawn from a seed, and check what clients and targets observe",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Usage: "`FOLDER` with the executables", Value: "bin"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` for settings and logs", Value: "run/soak"},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.DurationFlag{Name: "duration", Usage: "how long faults are injected for each seed", Value: 8 * time.Second},
			&cli.IntFlag{Name: "targets", Usage: "number of targets of the larger service", Value: 4},
			&cli.IntFlag{Name: "balancers", Usage: "number of balancers in each of the two zones", Value: 2},
			&cli.IntFlag{Name: "clients", Usage: "number of clients", Value: 20},
			&cli.BoolFlag{Name: "absences", Usage: "also stop agents for seconds, beside draining and cold targets too, roll balancers, and let clients pause"},
			&cli.IntFlag{Name: "octet", Usage: "second octet of the loopback addresses", Value: 70},
		},
		Action: runSeeds,
	}
}

// runSeeds runs seeds one after the other and prints a report for each. It fails if
// any of them found violations.
func runSeeds(ctx context.Context, command *cli.Command) error {
	// On a signal the run is cancelled, so that Run stops the processes it started.
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failed := 0
	for n := range command.Int("seeds") {
		seed := command.Uint64("seed") + uint64(n)
		report, err := Run(ctx, Config{
			Seed: seed, Duration: command.Duration("duration"), Targets: command.Int("targets"), Balancers: command.Int("balancers"),
			Clients: command.Int("clients"), Programs: command.String("programs"), Folder: folderOf(command.String("folder"), seed),
			Octet: byte(command.Int("octet")), Absences: command.Bool("absences"),
		})
		if err != nil {
			return err
		}
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return Error.Wrap(err)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return Error.New("violations were found with %d of %d seeds", failed, command.Int("seeds"))
	}
	return nil
}
