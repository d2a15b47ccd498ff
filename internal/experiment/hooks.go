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
	controlWindow = 20 * time.Second
	// keeperPolicy is the policy of the product among those that are compared.
	keeperPolicy = "slices from a keeper"
	// The bounds of the allowances' errors.
	mostRateOvershoot  = 5
	mostRefusedAllowed = 1
	steadyPrefix       = "steady"
	movesPrefix        = "moves"
)

// ControlCost measures what one balancer spends on control at several sizes of
// the fleet, and the line through the figures at the size to design for.
func ControlCost(ctx context.Context, env Env) (Result, error) {
	measured, err := controlcost.Run(ctx, env.Seed, controlcost.DefaultSizes, env.scaled(controlWindow))
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	var result Result
	last := measured.Samples[len(measured.Samples)-1]
	result.AtMost("day_bytes_per_second_at_full_size", last.DayBytesPerSecond, controlcost.BoundBytesPerSecond)
	result.AtMost("core_share_at_full_size", last.CoreShare, controlcost.BoundCoreShare)
	result.AtMost("heap_bytes_at_full_size", last.HeapBytes, controlcost.BoundMemoryBytes)
	result.Info("bytes_slope_per_node", measured.Bytes.PerNode)
	result.Info("bytes_line_at_full_size", measured.Bytes.AtLetter)
	result.Info("core_line_at_full_size", measured.Core.AtLetter)
	result.Info("memory_slope_per_node", measured.Memory.PerNode)
	result.Detail = measured
	return result, nil
}

// AllowanceError measures use above the plan and refused use that the plan
// allowed, beside baselines.
func AllowanceError(_ context.Context, env Env) (Result, error) {
	measured, err := allowanceerror.Run(env.Seed)
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	var result Result
	for _, run := range measured.Runs {
		if run.Policy != keeperPolicy {
			continue
		}
		name := strings.ReplaceAll(run.Load, " ", "_")
		result.AtMost(name+":rate_overshoot_percent", run.RateOvershootPercent, mostRateOvershoot)
		result.AtMost(name+":units_above_plan", float64(run.UnitsAbovePlan), 0)
		result.AtMost(name+":in_flight_overshoot", float64(run.InFlightOvershoot), 0)
		if strings.HasPrefix(run.Load, steadyPrefix) || strings.HasPrefix(run.Load, movesPrefix) {
			result.AtMost(name+":refused_allowed_percent", run.RefusedAllowedPercent, mostRefusedAllowed)
		}
		result.Info(name+":node_bytes_per_second", run.NodeBytesPerSecond)
	}
	result.Detail = measured.Runs
	return result, nil
}
