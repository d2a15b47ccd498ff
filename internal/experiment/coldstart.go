package experiment

import (
	"context"
	"time"

	standin "github.com/balsamlink/balsamlink/internal/standin/target"
)

func init() { Register("cold-start", ColdStart) }

const (
	coldServiceTime = 20 * time.Millisecond
	coldSlots       = 8
	// coldSlowdown is the factor on the service time of a cold target.
	coldSlowdown   = 4
	coldWarmUpTime = 10 * time.Second
	// coldDeadline is the deadline of each request.
	coldDeadline = 2 * time.Second
	// coldLoadShare is the offered load as a share of the warm target's capacity.
	coldLoadShare = 0.7
	// maxFullLimitTime is the bound of the time from the start of a cold target until
	// the admission limit equals its slots.
	maxFullLimitTime = coldWarmUpTime + 45*time.Second
	// coldCollapseDelay is how long the target sustains the requests it is already
	// running after it turns cold again. The agent must reduce its limit within this
	// time.
	coldCollapseDelay = (4+coldSlowdown)*coldServiceTime + 50*time.Millisecond
)

// ColdStart starts a cold target under load, makes it cold again without notice once
// the admission limit has reached its slots, and counts how often it collapses. A cold
// target sustains a single request. If it runs more for too long, it collapses: it
// fails all requests for a time and is cold afterwards. Its health endpoint falsely
// reports that it is idle and warm.
func ColdStart(ctx context.Context, env Env) (Result, error) {
	var result Result
	rate := coldLoadShare * coldSlots / coldServiceTime.Seconds()
	config := standin.Config{
		Slots: coldSlots, ServiceTime: coldServiceTime, ColdCapacity: 1, ColdSlowdown: coldSlowdown,
		WarmUp: coldWarmUpTime, CollapseDuration: 3 * time.Second,
	}
	bench, err := newAgentBench(env.Seed, config)
	if err != nil {
		return result, err
	}
	defer bench.close()
	bench.target.SetFault(standin.Fault{HealthReportsIdle: true})
	took, err := bench.awaitFullLimit(ctx, rate, maxFullLimitTime, coldDeadline)
	if err != nil {
		return result, err
	}
	result.AtMost("collapses_in_a_new_start", float64(bench.target.Ledger().Collapses), 0)
	result.AtMost("seconds_to_full_use", took.Seconds(), maxFullLimitTime.Seconds())

	bench.sendLoad(ctx, rate, env.scaled(5*time.Second), coldDeadline)
	bench.target.SetCollapseAfter(coldCollapseDelay)
	bench.target.RestartWarmUp()
	coldSamples := bench.sendLoad(ctx, rate, env.scaled(5*time.Second), coldDeadline)
	took, err = bench.awaitFullLimit(ctx, rate, maxFullLimitTime, coldDeadline)
	if err != nil {
		return result, err
	}
	result.AtMost("collapses_turned_cold_again", float64(bench.target.Ledger().Collapses), 0)
	result.AtMost("seconds_to_full_use_again", (env.scaled(5*time.Second) + took).Seconds(), maxFullLimitTime.Seconds())
	result.Info("answered_share_while_cold", share(coldSamples, func(s sample) bool { return s.answered }))
	result.AtLeast("collapses_without_admission", float64(collapsesWithoutAdmission(ctx, env, config, rate)), 1)
	return result, nil
}

// collapsesWithoutAdmission sends the same load directly to a cold target and
// returns the number of collapses. It returns 0, which misses the figure's bound, if
// the bench cannot be started.
func collapsesWithoutAdmission(ctx context.Context, env Env, config standin.Config, rate float64) int {
	bench, err := newAgentBench(env.Seed, config)
	if err != nil {
		return 0
	}
	defer bench.close()
	bench.url = bench.targetURL
	bench.sendLoad(ctx, rate, env.scaled(5*time.Second), coldDeadline)
	return bench.target.Ledger().Collapses
}

// share returns the share of samples that match; 0 without samples.
func share(samples []sample, match func(sample) bool) float64 {
	n := 0
	for _, s := range samples {
		if match(s) {
			n++
		}
	}
	return float64(n) / float64(max(len(samples), 1))
}
