package failure

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/soak"
)

// soakSeeds are played in every run: one that was never seen to fail, and each
// seed that ever found a fault, with its cause.
var soakSeeds = []uint64{
	1,
	// A target that starts after its clock was set back was refused as older than the
	// one before, so that its flows were never given up.
	110,
	// Until it was taken, new flows were counted as the former target's, and reset.
	134, 137,
}

// While faults come in overlapping series no flow ends but with its target, no
// drained target gets a new flow, and all is well once they have ended.
func TestSoakKeepsItsPromises(t *testing.T) {
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			report, err := soak.Run(t.Context(), soak.Config{
				Seed: seed, Duration: 8 * time.Second, Targets: 4, Balancers: 2, Clients: 20, Programs: programs, Folder: t.TempDir(),
				Octet: byte(100 + octets.Add(1)),
			})
			require.NoError(t, err)
			require.Empty(t, report.Violations)
			require.Positive(t, report.Requests)
		})
	}
}
