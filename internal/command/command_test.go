package command_test

import (
	"context"
	"io"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/command"
	"github.com/balsamlink/balsamlink/internal/devcerts"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/settings"
)

// A wrong command line, or a settings file that cannot be read, must give ExitUsage, a
// failure of a valid command ExitFailure, and --help and --version ExitOK.
func TestExitCodes(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "certs")
	cases := []struct {
		arguments []string
		code      int
	}{
		{[]string{"balsamdev", "--help"}, kernel.ExitOK},
		{[]string{"balsamdev", "--version"}, kernel.ExitOK},
		{[]string{"balsamdev", "certs", "--out", folder}, kernel.ExitOK},
		{[]string{"balsamdev", "certs"}, kernel.ExitUsage},
		{[]string{"balsamdev", "certs", "--inn", folder}, kernel.ExitUsage},
		{[]string{"balsamdev", "--folder", folder}, kernel.ExitUsage},
		{[]string{"balsamdev", "certs", "--out", "/dev/null/x"}, kernel.ExitFailure},
		{[]string{"balsamdev", "certs", "--out", folder, "--node", "../x"}, kernel.ExitUsage},
	}
	for _, c := range cases {
		root := &cli.Command{Name: "balsamdev", Commands: []*cli.Command{devcerts.Command()}, Writer: io.Discard, ErrWriter: io.Discard}
		require.Equal(t, c.code, command.Execute(root, c.arguments), "%v", c.arguments)
	}
	process := command.Process[struct{}]{
		Load:     settings.Load[struct{}],
		Name:     "process",
		LogLevel: func(struct{}) string { return "" },
		Run:      func(context.Context, struct{}, *logrus.Entry) error { return kernel.ErrDrainDeadline },
	}
	require.Equal(t, kernel.ExitUsage, process.Main([]string{"process"}))
	require.Equal(t, kernel.ExitUsage, process.Main([]string{"process", "--settings", folder + "/none"}))
}
