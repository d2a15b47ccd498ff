// Command balsampktlb is the balancer of the packet path, on which flows reach their
// target packet by packet, without being terminated. It forwards the packets of flows
// to the agents of their targets.
package main

import (
	"os"

	"github.com/balsamlink/balsamlink/internal/command"
	"github.com/balsamlink/balsamlink/internal/packetlb"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/platform"
)

func main() {
	process := command.Process[packetnode.Settings]{
		Name:     "balsampktlb",
		Usage:    "steer the packets of flows to the agents of their targets",
		Load:     packetnode.LoadSettings,
		EnvVar:   platform.SettingsVariable,
		LogLevel: func(s packetnode.Settings) string { return s.LogLevel },
		Check:    packetlb.Check,
		Run:      packetlb.Run,
	}
	os.Exit(process.Main(os.Args))
}
