package controlcost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/membership"
)

// Every figure must be measured in small fleets too, and a fleet with too few
// balancers must be refused.
func TestSmallFleetsAreMeasuredInFull(t *testing.T) {
	result, err := Run(context.Background(), 1, []Size{{6, 20}, {12, 40}}, time.Second)
	require.NoError(t, err)
	for _, sample := range result.Samples {
		require.Positive(t, sample.Watched)
		require.Positive(t, sample.BytesPerSecond)
		require.Positive(t, sample.BytesPerChange)
		require.Greater(t, sample.BytesPerSync, float64(membership.BucketCount))
		require.Positive(t, sample.BytesPerDocument)
		require.Greater(t, sample.DayBytesPerSecond, sample.BytesPerSecond)
	}
	_, err = Run(context.Background(), 1, []Size{{1, 1}}, time.Second)
	require.ErrorContains(t, err, "sizes:")
}

// A line through points on it must have no residual, and must be compared with the bound
// at the design size.
func TestFitOfPointsOnALine(t *testing.T) {
	samples := []Sample{
		{Size: Size{4, 6}, CoreShare: 12}, {Size: Size{8, 12}, CoreShare: 22}, {Size: Size{20, 20}, CoreShare: 42},
	}
	line := fit(samples, 5000, func(s Sample) float64 { return s.CoreShare })
	require.InDelta(t, 1, line.PerNode, 1e-9)
	require.InDelta(t, 0, line.Residual, 1e-6)
	require.InDelta(t, float64(DesignSize.Nodes())+2, line.AtDesignSize, 1e-6)
	require.False(t, line.Met)
}
