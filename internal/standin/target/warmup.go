package target

import "time"

// warmUpModel models the capacity of a target from a cold start on. A cold target
// sustains coldCapacity requests in service and takes coldSlowdown times as long
// for each; both change linearly to the warm values while the target warms up.
// balsamlink processes must not be configured with these values: they have to
// estimate the capacity by themselves.
type warmUpModel struct {
	slots        int
	coldCapacity int
	coldSlowdown float64
	// duration is the minimum time from cold to warm; minServed is the number of
	// requests that must also have been served.
	duration  time.Duration
	minServed int

	// since is when the warm-up starts, which is in the future during a collapse.
	// served is the number of requests served since then.
	since  time.Time
	served int
}

// restart makes the target cold; its warm-up starts at the given time.
func (w *warmUpModel) restart(start time.Time) {
	w.since = start
	w.served = 0
}

// progress returns the warm-up progress, from 0 (cold) to 1 (warm). It is negative
// during a collapse if duration is set, because the warm-up has not started.
func (w *warmUpModel) progress(now time.Time) float64 {
	progress := 1.0
	if w.duration > 0 {
		progress = min(progress, float64(now.Sub(w.since))/float64(w.duration))
	}
	if w.minServed > 0 {
		progress = min(progress, float64(w.served)/float64(w.minServed))
	}
	return progress
}

// capacity returns the number of requests in service that the target sustains.
func (w *warmUpModel) capacity(now time.Time) int {
	return w.coldCapacity + int(float64(w.slots-w.coldCapacity)*w.progress(now))
}

// slowdown returns the factor on the warm service time.
func (w *warmUpModel) slowdown(now time.Time) float64 {
	return 1 + (w.coldSlowdown-1)*(1-w.progress(now))
}
