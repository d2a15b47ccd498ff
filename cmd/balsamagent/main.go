// Command balsamagent is the agent. It runs beside each target and is the only path to
// it: it authenticates customers, enforces their allowances and relays their requests.
package main

import (
	"os"

	"github.com/balsamlink/balsamlink/internal/agent"
	"github.com/balsamlink/balsamlink/internal/command"
	"github.com/balsamlink/balsamlink/internal/settings"

	_ "github.com/balsamlink/balsamlink/internal/credential/bearer"
	_ "github.com/balsamlink/balsamlink/internal/platform/httpkv"
	_ "github.com/balsamlink/balsamlink/internal/target/http1"
)

func main() {
	process := command.Process[settings.Agent]{
		Name:     "balsamagent",
		Usage:    "admit and relay the requests of the target beside it, as the only path to it",
		Load:     settings.Load[settings.Agent],
		LogLevel: func(s settings.Agent) string { return s.Node.LogLevel },
		Check:    agent.Check,
		Run:      agent.Run,
	}
	os.Exit(process.Main(os.Args))
}
