package experiment

import (
	"context"
	"slices"
	"time"

	standin "github.com/balsamlink/balsamlink/internal/standin/target"
)

func init() { Register("overload", Overload) }

const (
	overloadSlots       = 8
	overloadServiceTime = 20 * time.Millisecond
	overloadDeadline    = 600 * time.Millisecond
	overloadPhaseTime   = 10 * time.Second
	recoveryBucket      = 500 * time.Millisecond
	// minRecoveredShare is the share of a bucket's requests that must be answered before
	// their deadline. An overload is over when no later bucket falls below it.
	minRecoveredShare = 0.99
)

// Overload loads one target with 100%, then 200%, then 70% of its capacity and
// compares the goodput of the phases.
func Overload(ctx context.Context, env Env) (Result, error) {
	var result Result
	b, err := newAgentBench(env.Seed, standin.Config{
		Slots: overloadSlots, ServiceTime: overloadServiceTime, ColdCapacity: overloadSlots, CollapseDuration: time.Second,
	})
	if err != nil {
		return result, err
	}
	defer b.close()
	capacity := overloadSlots / overloadServiceTime.Seconds()
	if _, err := b.awaitFullLimit(ctx, capacity, maxFullLimitTime, overloadDeadline); err != nil {
		return result, err
	}
	phaseTime := env.scaled(overloadPhaseTime)
	peakGoodput := goodput(b.sendLoad(ctx, capacity, phaseTime, overloadDeadline), phaseTime)
	before := b.target.Ledger()
	began := time.Now()
	overloaded := b.sendLoad(ctx, 2*capacity, phaseTime, overloadDeadline)
	drained := time.Since(began) - phaseTime
	after := b.target.Ledger()
	recovering := b.sendLoad(ctx, 0.7*capacity, phaseTime, overloadDeadline)

	overloadGoodput := goodput(overloaded, phaseTime)
	result.AtLeast("goodput_share_of_peak", overloadGoodput/max(peakGoodput, overloadGoodput), 0.9)
	result.Info("goodput_per_second_at_2x", overloadGoodput)
	result.Info("peak_goodput_per_second", peakGoodput)
	result.Info("peak_share_of_capacity", max(peakGoodput, overloadGoodput)/capacity)
	bookings, reads := answered(overloaded)
	ratio := float64(bookings) / float64(max(reads, 1))
	result.AtLeast("bookings_for_each_read", ratio, 1.8)
	result.AtMost("bookings_for_each_read_most", ratio, 2.2)
	offered := after.Bookings + after.Files - before.Bookings - before.Files
	result.AtMost("offers_for_each_answer", float64(offered)/float64(bookings+reads), 1.1)
	result.AtMost("refusal_milliseconds_p50", quantile(refusalTimes(overloaded), 0.5), 50)
	result.Info("refusal_milliseconds_p99", quantile(refusalTimes(overloaded), 0.99))
	result.AtMost("answers_of_others", float64(len(slices.DeleteFunc(overloaded, func(s sample) bool { return !s.wrong }))), 0)
	result.AtMost("most_in_flight", float64(after.MaxInFlight), overloadSlots)
	result.AtMost("recovery_seconds", drained.Seconds()+recovery(recovering, phaseTime), 5)
	return result, nil
}

// goodput returns the requests answered correctly before their deadline, per
// second.
func goodput(samples []sample, d time.Duration) float64 {
	bookings, reads := answered(samples)
	return float64(bookings+reads) / d.Seconds()
}

func answered(samples []sample) (bookings, reads int) {
	for _, s := range samples {
		switch {
		case s.ok && s.booking:
			bookings++
		case s.ok:
			reads++
		}
	}
	return bookings, reads
}

// refusalTimes returns the latencies of the refused requests in milliseconds.
func refusalTimes(samples []sample) []float64 {
	var times []float64
	for _, s := range samples {
		if s.refused {
			times = append(times, float64(s.latency.Microseconds())/1000)
		}
	}
	return times
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// recovery returns the time in seconds after which no bucket falls below
// minRecoveredShare.
func recovery(samples []sample, d time.Duration) float64 {
	last := 0.0
	for start := time.Duration(0); start < d; start += recoveryBucket {
		var bucket []sample
		for _, s := range samples {
			if s.endedAt >= start && s.endedAt < start+recoveryBucket {
				bucket = append(bucket, s)
			}
		}
		if len(bucket) > 0 && share(bucket, func(s sample) bool { return s.ok }) < minRecoveredShare {
			last = (start + recoveryBucket).Seconds()
		}
	}
	return last
}
