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
	// overloadDeadline is the deadline of each request.
	overloadDeadline  = 600 * time.Millisecond
	overloadPhaseTime = 10 * time.Second
	// recoveryBucket is the length of the intervals in which recovery is measured.
	recoveryBucket = 500 * time.Millisecond
	// minRecoveredShare is the share of a bucket's requests that must be answered before
	// their deadline. An overload is over when no later bucket falls below it.
	minRecoveredShare = 0.99
)

// Overload loads one target with 100%, then 200%, then 70% of its capacity. It checks
// the goodput at 200% against the peak, the requests sent to the target for each answer,
// the latency of refusals and the time to recover at 70%.
func Overload(ctx context.Context, env Env) (Result, error) {
	var result Result
	bench, err := newAgentBench(env.Seed, standin.Config{
		Slots: overloadSlots, ServiceTime: overloadServiceTime, ColdCapacity: overloadSlots, CollapseDuration: time.Second,
	})
	if err != nil {
		return result, err
	}
	defer bench.close()
	capacity := overloadSlots / overloadServiceTime.Seconds()
	if _, err := bench.awaitFullLimit(ctx, capacity, maxFullLimitTime, overloadDeadline); err != nil {
		return result, err
	}
	phaseTime := env.scaled(overloadPhaseTime)
	peakGoodput := goodput(bench.sendLoad(ctx, capacity, phaseTime, overloadDeadline), phaseTime)
	ledgerBefore := bench.target.Ledger()
	started := time.Now()
	overloaded := bench.sendLoad(ctx, 2*capacity, phaseTime, overloadDeadline)
	drainTime := time.Since(started) - phaseTime
	ledgerAfter := bench.target.Ledger()
	recovering := bench.sendLoad(ctx, 0.7*capacity, phaseTime, overloadDeadline)

	overloadGoodput := goodput(overloaded, phaseTime)
	result.AtLeast("goodput_share_of_peak", overloadGoodput/max(peakGoodput, overloadGoodput), 0.9)
	result.Info("goodput_per_second_at_2x", overloadGoodput)
	result.Info("peak_goodput_per_second", peakGoodput)
	result.Info("peak_share_of_capacity", max(peakGoodput, overloadGoodput)/capacity)
	bookings, reads := answered(overloaded)
	// Admission gives bookings twice the share of the slots that reads get.
	bookingsPerRead := float64(bookings) / float64(max(reads, 1))
	result.AtLeast("bookings_for_each_read", bookingsPerRead, 1.8)
	result.AtMost("bookings_for_each_read_most", bookingsPerRead, 2.2)
	sentToTarget := ledgerAfter.Bookings + ledgerAfter.Files - ledgerBefore.Bookings - ledgerBefore.Files
	result.AtMost("offers_for_each_answer", float64(sentToTarget)/float64(bookings+reads), 1.1)
	result.AtMost("refusal_milliseconds_p50", quantile(refusalTimes(overloaded), 0.5), 50)
	result.Info("refusal_milliseconds_p99", quantile(refusalTimes(overloaded), 0.99))
	result.AtMost("answers_of_others", float64(len(slices.DeleteFunc(overloaded, func(s sample) bool { return !s.wrong }))), 0)
	result.AtMost("most_in_flight", float64(ledgerAfter.MaxInFlight), overloadSlots)
	result.AtMost("recovery_seconds", drainTime.Seconds()+recoverySeconds(recovering, phaseTime), 5)
	return result, nil
}

// goodput returns the requests answered correctly before their deadline, per
// second.
func goodput(samples []sample, duration time.Duration) float64 {
	bookings, reads := answered(samples)
	return float64(bookings+reads) / duration.Seconds()
}

// answered counts the answered requests of each kind; reads are those that are not
// bookings.
func answered(samples []sample) (bookings, reads int) {
	for _, s := range samples {
		switch {
		case s.answered && s.booking:
			bookings++
		case s.answered:
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

// quantile sorts the values and returns their q-quantile, 0 without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// recoverySeconds returns the time in seconds, counted from the start of the load,
// after which no bucket falls below minRecoveredShare.
func recoverySeconds(samples []sample, duration time.Duration) float64 {
	recoveredAt := 0.0
	for start := time.Duration(0); start < duration; start += recoveryBucket {
		var bucket []sample
		for _, s := range samples {
			if s.endedAt >= start && s.endedAt < start+recoveryBucket {
				bucket = append(bucket, s)
			}
		}
		if len(bucket) > 0 && share(bucket, func(s sample) bool { return s.answered }) < minRecoveredShare {
			recoveredAt = (start + recoveryBucket).Seconds()
		}
	}
	return recoveredAt
}
