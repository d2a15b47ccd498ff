package devcerts

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/kernel"
)

// Command returns the command "certs" of balsamdev.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "certs",
		Usage: "generate development certificates and shared keys",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "output directory", Required: true},
			&cli.StringSliceFlag{Name: "node", Usage: "name of a process or operator (repeatable)"},
			&cli.StringSliceFlag{Name: "service", Usage: "name of a service (repeatable)"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			request := Request{
				Directory: command.String("out"),
				Nodes:     command.StringSlice("node"),
				Services:  command.StringSlice("service"),
			}
			if err := request.validate(); err != nil {
				return kernel.Usage(err)
			}
			if err := Generate(request); err != nil {
				return err
			}
			fmt.Fprintf(command.Root().Writer, "generated certificates of %d nodes and %d services in %s\n",
				len(request.Nodes), len(request.Services), request.Directory)
			return nil
		},
	}
}
