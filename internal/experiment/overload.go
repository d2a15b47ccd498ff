package experiment

import (
	"context"
	"slices"
	"time"

	standin "github.com/balsamlink/balsamlink/internal/standin/target"
)

func init() { Register("overload", Overload) }

const (
	overSlots    = 8
	overService  = 20 * time.Millisecond
	overDeadline = 600 * time.Millisecond
	overTime     = 10 * time.Second
	overBucket   = 500 * time.Millisecond
	// recoveredShare is the part of the requests that are answered in time when
	// an overload is over.
	recoveredShare = 0.99
)

// Overload offers one target as much as it can do, then twice as much, then
// seven tenths, and compares what callers get.
func Overload(ctx context.Context, env Env) (Result, error) {
	var result Result
	b, err := newAgentBench(env.Seed, standin.Config{
		Slots: overSlots, ServiceTime: overService, ColdCapacity: overSlots, CollapseDuration: time.Second,
	})
	if err != nil {
		return result, err
	}
	defer b.close()
	full := overSlots / overService.Seconds()
	if _, err := b.untilFull(ctx, full, coldMost, overDeadline); err != nil {
		return result, err
	}
	d := env.scaled(overTime)
	peak := goodput(b.offerLoad(ctx, full, d, overDeadline), d)
	before := b.target.Ledger()
	began := time.Now()
	over := b.offerLoad(ctx, 2*full, d, overDeadline)
	drained := time.Since(began) - d
	after := b.target.Ledger()
	then := b.offerLoad(ctx, 0.7*full, d, overDeadline)

	good := goodput(over, d)
	result.AtLeast("goodput_share_of_peak", good/max(peak, good), 0.9)
	result.Info("goodput_per_second_at_2x", good)
	result.Info("peak_goodput_per_second", peak)
	result.Info("peak_share_of_capacity", max(peak, good)/full)
	bookings, reads := answered(over)
	ratio := float64(bookings) / float64(max(reads, 1))
	result.AtLeast("bookings_for_each_read", ratio, 1.8)
	result.AtMost("bookings_for_each_read_most", ratio, 2.2)
	offered := after.Bookings + after.Files - before.Bookings - before.Files
	result.AtMost("offers_for_each_answer", float64(offered)/float64(bookings+reads), 1.1)
	result.AtMost("refusal_milliseconds_p50", quantile(refusals(over), 0.5), 50)
	result.Info("refusal_milliseconds_p99", quantile(refusals(over), 0.99))
	result.AtMost("answers_of_others", float64(len(slices.DeleteFunc(over, func(s sample) bool { return !s.wrong }))), 0)
	result.AtMost("most_in_flight", float64(after.MaxInFlight), overSlots)
	result.AtMost("recovery_seconds", drained.Seconds()+recovery(then, d), 5)
	return result, nil
}

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

// refusals returns the times of the refusals in milliseconds.
func refusals(samples []sample) []float64 {
	var times []float64
	for _, s := range samples {
		if s.refused {
			times = append(times, float64(s.took.Microseconds())/1000)
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

// recovery returns the time after which every bucket was answered again, in
// seconds.
func recovery(samples []sample, d time.Duration) float64 {
	last := 0.0
	for start := time.Duration(0); start < d; start += overBucket {
		var bucket []sample
		for _, s := range samples {
			if s.at >= start && s.at < start+overBucket {
				bucket = append(bucket, s)
			}
		}
		if len(bucket) > 0 && share(bucket, func(s sample) bool { return s.ok }) < recoveredShare {
			last = (start + overBucket).Seconds()
		}
	}
	return last
}
