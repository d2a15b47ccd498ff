package site

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("site")

// Command returns the command "site" of balsamdev.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "site",
		Usage: "run a small deployment of the packet path on loopback addresses and check every response",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Usage: "`FOLDER` with the executables", Value: "bin"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` for settings and logs", Value: "run/platform"},
			&cli.DurationFlag{Name: "duration", Usage: "how long clients send", Value: 10 * time.Second},
			&cli.IntFlag{Name: "clients", Usage: "number of clients", Value: 30},
			&cli.StringFlag{Name: "hash", Usage: "how routers choose a balancer: steady or mod", Value: string(HashRendezvous)},
			&cli.IntFlag{Name: "octet", Usage: "second octet of the loopback addresses", Value: 90},
		},
		Action: runSite,
	}
}

func runSite(ctx context.Context, command *cli.Command) error {
	folder := command.String("folder")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Error.Wrap(err)
	}
	running, err := Start(Shape{
		Zones: []string{"gauteng-a", "gauteng-b"}, Balancers: 2, Hash: HashMethod(command.String("hash")), Octet: byte(command.Int("octet")),
		Services: []ServiceShape{{Name: "memberdesk", Targets: 4}, {Name: "proofroom", Targets: 2}},
	}, command.String("programs"), folder)
	if err != nil {
		return Error.Wrap(err)
	}
	defer running.Close()
	fmt.Println("serving; logs are in", folder)
	ctx, cancel := context.WithTimeout(ctx, command.Duration("duration"))
	defer cancel()
	tally, err := running.RunLoad(ctx, command.Int("clients"))
	if err != nil {
		return Error.Wrap(err)
	}
	if err := json.NewEncoder(os.Stdout).Encode(tally); err != nil {
		return Error.Wrap(err)
	}
	if tally.Wrong+tally.Broken+tally.InvalidPackets+tally.Reset+tally.NotOpened+tally.TimedOut+tally.Closed > 0 || tally.Served == 0 {
		return Error.New("not every request was served")
	}
	return nil
}
