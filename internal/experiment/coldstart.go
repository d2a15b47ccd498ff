package experiment

import (
	"context"
	"time"

	standin "github.com/balsamlink/balsamlink/internal/standin/target"
)

func init() { Register("cold-start", ColdStart) }

const (
	coldService  = 20 * time.Millisecond
	coldSlots    = 8
	coldFactor   = 4
	coldWarming  = 10 * time.Second
	coldDeadline = 2 * time.Second
	// coldLoad is the offered load as a part of what the warm target can do.
	coldLoad = 0.7
	// coldMost bounds the time to full use, from the start of the cold target.
	coldMost = coldWarming + 45*time.Second
	// coldPatience is how long the target bears what it already runs when it
	// turns cold again: the time in which it can be noticed.
	coldPatience = (4+coldFactor)*coldService + 50*time.Millisecond
)

// ColdStart starts a cold target under load, lets it turn cold again without
// warning once it is in full use, and counts how often it collapses. The target
// bears one request at first and nothing above that, and its health endpoint
// says that all is well.
func ColdStart(ctx context.Context, env Env) (Result, error) {
	var result Result
	rate := coldLoad * coldSlots / coldService.Seconds()
	config := standin.Config{
		Slots: coldSlots, ServiceTime: coldService, ColdCapacity: 1, ColdSlowdown: coldFactor,
		WarmUp: coldWarming, CollapseDuration: 3 * time.Second,
	}
	b, err := newAgentBench(env.Seed, config)
	if err != nil {
		return result, err
	}
	defer b.close()
	b.target.SetFault(standin.Fault{HealthReportsIdle: true})
	took, err := b.untilFull(ctx, rate, coldMost, coldDeadline)
	if err != nil {
		return result, err
	}
	result.AtMost("collapses_in_a_new_start", float64(b.target.Ledger().Collapses), 0)
	result.AtMost("seconds_to_full_use", took.Seconds(), coldMost.Seconds())

	b.offerLoad(ctx, rate, env.scaled(5*time.Second), coldDeadline)
	b.target.SetCollapseAfter(coldPatience)
	b.target.RestartWarmUp()
	cold := b.offerLoad(ctx, rate, env.scaled(5*time.Second), coldDeadline)
	took, err = b.untilFull(ctx, rate, coldMost, coldDeadline)
	if err != nil {
		return result, err
	}
	result.AtMost("collapses_turned_cold_again", float64(b.target.Ledger().Collapses), 0)
	result.AtMost("seconds_to_full_use_again", (env.scaled(5*time.Second) + took).Seconds(), coldMost.Seconds())
	result.Info("answered_share_while_cold", share(cold, func(s sample) bool { return s.ok }))
	result.AtLeast("collapses_without_admission", float64(bareCollapses(ctx, env, config, rate)), 1)
	return result, nil
}

// bareCollapses sends the same load straight at a cold target.
func bareCollapses(ctx context.Context, env Env, config standin.Config, rate float64) int {
	b, err := newAgentBench(env.Seed, config)
	if err != nil {
		return 0
	}
	defer b.close()
	b.url = b.direct
	b.offerLoad(ctx, rate, env.scaled(5*time.Second), coldDeadline)
	return b.target.Ledger().Collapses
}

func share(samples []sample, counts func(sample) bool) float64 {
	n := 0
	for _, s := range samples {
		if counts(s) {
			n++
		}
	}
	return float64(n) / float64(max(len(samples), 1))
}
