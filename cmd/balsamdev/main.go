// Command balsamdev contains the stand-ins for the platform, the fabric and the
// targets, the load tool, the experiments and the soak test. It is for development only
// and never part of a deployment.
package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/command"
	"github.com/balsamlink/balsamlink/internal/devcerts"
	"github.com/balsamlink/balsamlink/internal/experiment"
	"github.com/balsamlink/balsamlink/internal/load"
	"github.com/balsamlink/balsamlink/internal/soak"
	"github.com/balsamlink/balsamlink/internal/standin/bare"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
	"github.com/balsamlink/balsamlink/internal/standin/fabric"
	"github.com/balsamlink/balsamlink/internal/standin/platform"
	"github.com/balsamlink/balsamlink/internal/standin/site"
	"github.com/balsamlink/balsamlink/internal/standin/target"
)

func main() {
	root := &cli.Command{
		Name:  "balsamdev",
		Usage: "stand-ins, load tool and experiments for developing and testing balsamlink",
		Commands: []*cli.Command{
			deployment.Command(),
			fabric.Command(),
			bare.Command(),
			platform.Command(),
			devcerts.Command(),
			target.Command(),
			load.Command(),
			experiment.Command(),
			site.Command(),
			soak.Command(),
		},
	}
	os.Exit(command.Execute(root, os.Args))
}
