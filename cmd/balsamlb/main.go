// Command balsamlb is the balancer. It runs on each entry VM, to which the fabric
// delivers callers' QUIC datagrams, and forwards these to the agents of their service.
package main

import (
	"os"

	"github.com/balsamlink/balsamlink/internal/balancer"
	"github.com/balsamlink/balsamlink/internal/command"
	"github.com/balsamlink/balsamlink/internal/settings"

	_ "github.com/balsamlink/balsamlink/internal/fabric/proxyv2"
	_ "github.com/balsamlink/balsamlink/internal/platform/httpkv"
)

func main() {
	process := command.Process[settings.Balancer]{
		Name:     "balsamlb",
		Usage:    "steer callers' datagrams to the agents of their service",
		Load:     settings.Load[settings.Balancer],
		LogLevel: func(s settings.Balancer) string { return s.Node.LogLevel },
		Check:    balancer.Check,
		Run:      balancer.Run,
	}
	os.Exit(process.Main(os.Args))
}
