package node_test

import (
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/devcerts"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/node"
	"github.com/balsamlink/balsamlink/internal/observe"
)

// Changed files are read after secretsCheckInterval: an invalid file is refused,
// and the next valid one takes effect. A module that was never started can be
// stopped.
func TestSecretsAreCheckedAtAnInterval(t *testing.T) {
	directory := t.TempDir()
	require.NoError(t, devcerts.Generate(devcerts.Request{Directory: directory, Nodes: []string{"lb-1"}}))
	files := devcerts.NodeFiles(directory, "lb-1")
	keyring, err := keys.Load(files)
	require.NoError(t, err)
	log, err := observe.NewLog(io.Discard, "")
	require.NoError(t, err)
	metrics := observe.NewMetricSet()
	require.NoError(t, node.NewSecrets(keyring, observe.NewMetricSet(), log).Stop(), "stopped before the start")
	synctest.Test(t, func(t *testing.T) {
		secrets := node.NewSecrets(keyring, metrics, log)
		require.NoError(t, secrets.Start(t.Context()))
		reloadWith := func(contents string) (reloaded, refused int64) {
			require.NoError(t, os.WriteFile(files.Shared, []byte(contents), 0o600))
			time.Sleep(10 * time.Second)
			synctest.Wait()
			values := metrics.Values()
			return values["secrets_reloaded"], values["secrets_refused"]
		}
		reloaded, refused := reloadWith("datagram\n")
		require.Equal(t, [2]int64{0, 1}, [2]int64{reloaded, refused})
		var lines []string
		for _, name := range []string{"datagram 1 ", "connection_id 1 ", "reset "} {
			lines = append(lines, name+strings.Repeat("a", 2*keys.SharedKeySize))
		}
		reloaded, refused = reloadWith(strings.Join(lines, "\n"))
		require.Equal(t, [2]int64{1, 1}, [2]int64{reloaded, refused})
		require.EqualValues(t, 1, keyring.Shared().DatagramNumber)
		require.NoError(t, secrets.Stop())
	})
}
