// Command balsampktagent is the agent of the packet path, on which flows reach their
// target packet by packet, without being terminated. It runs beside each target,
// admits its flows and forwards their packets.
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
		Usage:    "admit flows to the target beside it and forward their packets, as the only path to it",
		Load:     packetnode.LoadSettings,
		EnvVar:   platform.SettingsVariable,
		LogLevel: func(s packetnode.Settings) string { return s.LogLevel },
		Check:    packetagent.Check,
		Run:      packetagent.Run,
	}
	os.Exit(process.Main(os.Args))
}
