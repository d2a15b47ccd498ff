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

func TestSecretsAreCheckedAtAnInterval(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, devcerts.Make(devcerts.Request{Directory: folder, Nodes: []string{"lb-1"}}))
	files := devcerts.NodeFiles(folder, "lb-1")
	ring, err := keys.Load(files)
	require.NoError(t, err)
	log, err := observe.NewLog(io.Discard, "")
	require.NoError(t, err)
	counters := observe.NewCounters()
	require.NoError(t, node.NewSecrets(ring, observe.NewCounters(), log).Stop(), "stopped before the start")
	synctest.Test(t, func(t *testing.T) {
		secrets := node.NewSecrets(ring, counters, log)
		require.NoError(t, secrets.Start(t.Context()))
		pass := func(write string) (reloaded, refused int64) {
			require.NoError(t, os.WriteFile(files.Shared, []byte(write), 0o600))
			time.Sleep(10 * time.Second)
			synctest.Wait()
			values := counters.Values()
			return values["secrets_reloaded"], values["secrets_refused"]
		}
		reloaded, refused := pass("datagram\n")
		require.Equal(t, [2]int64{0, 1}, [2]int64{reloaded, refused})
		var lines []string
		for _, name := range []string{"datagram 1 ", "connection_id 1 ", "reset "} {
			lines = append(lines, name+strings.Repeat("a", 2*keys.SharedKeySize))
		}
		reloaded, refused = pass(strings.Join(lines, "\n"))
		require.Equal(t, [2]int64{1, 1}, [2]int64{reloaded, refused})
		require.EqualValues(t, 1, ring.Shared().DatagramNumber)
		require.NoError(t, secrets.Stop())
	})
}
