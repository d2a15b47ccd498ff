package allowanceerror

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const testSeed = 1

func findRun(t *testing.T, result Result, load, policy string) Figures {
	for _, run := range result.Runs {
		if run.Load == load && run.Policy == policy {
			return run
		}
	}
	t.Fatalf("no run of %q under %q", policy, load)
	return Figures{}
}

// Slices must stay within the bounds under every load. Each baseline must miss a bound
// under one of them: otherwise the loads would not test the bounds.
func TestSlicesMeetTheBoundsAndBaselinesDoNot(t *testing.T) {
	result, err := Run(testSeed)
	require.NoError(t, err)
	for _, run := range result.Runs {
		t.Logf("%-26s %-20s offered %5d ideal %5d admitted %5d over %5.2f%% slots+%d units+%d refused %6.2f%% calls %5.2f/s bytes %6.0f/s wait %4.0fms",
			run.Load, run.Policy, run.Offered, run.Ideal, run.Admitted, run.RateOvershootPercent, run.InFlightOvershoot,
			run.UnitsAbovePlan, run.RefusedAllowedPercent, run.PlatformCallsPerSecond, run.NodeBytesPerSecond, run.WaitP99Ms)
	}
	for _, load := range loads(testSeed) {
		run := findRun(t, result, load.name, "slices from a keeper")
		require.LessOrEqual(t, run.RateOvershootPercent, 5.0, load.name)
		require.Zero(t, run.UnitsAbovePlan, load.name)
		require.Zero(t, run.InFlightOvershoot, load.name)
		require.LessOrEqual(t, run.RefusedAllowedPercent, 1.0, load.name)
	}
	require.Greater(t, findRun(t, result, "moves to one node", "equal static share").RefusedAllowedPercent, 10.0)
	require.Greater(t, findRun(t, result, "steady at twice the rate", "each node alone").RateOvershootPercent, 50.0)
	require.Positive(t, findRun(t, result, "units run out", "atomic increments").UnitsAbovePlan)
}
