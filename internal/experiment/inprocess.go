package experiment

import (
	"context"
	"strings"
	"time"

	"github.com/balsamlink/balsamlink/internal/measure/allowanceerror"
	"github.com/balsamlink/balsamlink/internal/measure/controlcost"
)

func init() {
	Register("control-cost", ControlCost)
	Register("allowance-error", AllowanceError)
}

const (
	// steadyWindow is how long ControlCost measures the steady state of each fleet size.
	steadyWindow = 20 * time.Second
	// policyUnderTest is the name of the policy under test in the result of
	// allowanceerror: slices granted by a shard owner. The others are baselines.
	policyUnderTest          = "slices from a keeper"
	maxRateOvershootPercent  = 5
	maxRefusedAllowedPercent = 1
	// maxRefusedAllowedPercent applies only under loads whose names have one of these
	// prefixes.
	steadyPrefix = "steady"
	movesPrefix  = "moves"
)

// ControlCost measures the control-plane traffic, processor time and memory of one
// balancer at several fleet sizes. The bounds apply to the sample at the design size,
// the largest. A line fitted to all samples gives the growth per node and a second
// value at the design size.
func ControlCost(ctx context.Context, env Env) (Result, error) {
	measured, err := controlcost.Run(ctx, env.Seed, controlcost.DefaultSizes, env.scaled(steadyWindow))
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	var result Result
	designSample := measured.Samples[len(measured.Samples)-1]
	result.AtMost("day_bytes_per_second_at_full_size", designSample.DayBytesPerSecond, controlcost.BoundBytesPerSecond)
	result.AtMost("core_share_at_full_size", designSample.CoreShare, controlcost.BoundCoreShare)
	result.AtMost("heap_bytes_at_full_size", designSample.HeapBytes, controlcost.BoundMemoryBytes)
	result.Info("bytes_slope_per_node", measured.Bytes.PerNode)
	result.Info("bytes_line_at_full_size", measured.Bytes.AtDesignSize)
	result.Info("core_line_at_full_size", measured.Core.AtDesignSize)
	result.Info("memory_slope_per_node", measured.Memory.PerNode)
	result.Detail = measured
	return result, nil
}

// AllowanceError simulates how far the usage that is admitted exceeds the plan and
// how much allowed usage is refused. Only the policy under test has figures with
// bounds; the baselines are in the result's Detail.
func AllowanceError(_ context.Context, env Env) (Result, error) {
	measured, err := allowanceerror.Run(env.Seed)
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	var result Result
	for _, run := range measured.Runs {
		if run.Policy != policyUnderTest {
			continue
		}
		name := strings.ReplaceAll(run.Load, " ", "_")
		result.AtMost(name+":rate_overshoot_percent", run.RateOvershootPercent, maxRateOvershootPercent)
		result.AtMost(name+":units_above_plan", float64(run.UnitsAbovePlan), 0)
		result.AtMost(name+":in_flight_overshoot", float64(run.InFlightOvershoot), 0)
		if strings.HasPrefix(run.Load, steadyPrefix) || strings.HasPrefix(run.Load, movesPrefix) {
			result.AtMost(name+":refused_allowed_percent", run.RefusedAllowedPercent, maxRefusedAllowedPercent)
		}
		result.Info(name+":node_bytes_per_second", run.NodeBytesPerSecond)
	}
	result.Detail = measured.Runs
	return result, nil
}
