// Command balsampktagent is the agent of the packet path.
package main

import (
	"os"

	"github.com/balsamlink/balsamlink/internal/command"
	"github.com/balsamlink/balsamlink/internal/packetagent"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/platform"
)

func main() {
	process := command.Process[packetnode.Settings]{
		Name:     "balsampktagent",
		Usage:    "be the only way to the target beside it, for the packets of flows",
		Load:     packetnode.LoadSettings,
		EnvVar:   platform.SettingsVariable,
		LogLevel: func(s packetnode.Settings) string { return s.LogLevel },
		Check:    packetagent.Check,
		Run:      packetagent.Run,
	}
	os.Exit(process.Main(os.Args))
}
