package target

import "time"

// warmth models how much a target bears. A cold target bears Cold requests in
// their service phase at once and answers Factor times slower; both move
// linearly to full use while it is Warming. The numbers never decide about a
// balsamlink process, which must find out by itself.
type warmth struct {
	slots  int
	cold   int
	factor float64
	// warming is the time from cold to warm; work is the number of requests
	// that must have been served besides.
	warming time.Duration
	work    int

	since  time.Time
	served int
}

func (w *warmth) chill(now time.Time) {
	w.since = now
	w.served = 0
}

func (w *warmth) progress(now time.Time) float64 {
	progress := 1.0
	if w.warming > 0 {
		progress = min(progress, float64(now.Sub(w.since))/float64(w.warming))
	}
	if w.work > 0 {
		progress = min(progress, float64(w.served)/float64(w.work))
	}
	return progress
}

// bears returns the number of requests that may be in service now.
func (w *warmth) bears(now time.Time) int {
	return w.cold + int(float64(w.slots-w.cold)*w.progress(now))
}

func (w *warmth) slowness(now time.Time) float64 {
	return 1 + (w.factor-1)*(1-w.progress(now))
}
