package admission

import (
	"math"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// coldWindow is the length of a window while the target may be cold; the limit
	// grows by at most one step per window.
	coldWindow = 2 * time.Second
	// warmWindow is the length of a window for a warm target.
	warmWindow = 200 * time.Millisecond
	// idleWindow is how long a limit is kept of which no more than half is used.
	idleWindow = 10 * time.Second
	// trendWindows is the number of windows over which the trend of a cold target's
	// answer times is computed.
	trendWindows = 4
	// fallingTrend is the relative change of the answer time over trendWindows at or
	// below which the target is still warming up.
	fallingTrend = -0.05
	// risingDrift is the relative change of the answer times between two windows at or
	// above which the limit does not grow: the last step was too large for now.
	risingDrift = 0.25
	// warmRatio is the ratio of answer times to the baseline up to which a target
	// counts as warm again, over warmWindows cold windows.
	warmRatio   = 1.1
	warmWindows = 2
	// falseAlarmRatio is the median ratio, of the first answer times after a sign of
	// being cold to the baseline, up to which the target has not become cold after all.
	// falseAlarmSamples is the number of these answers.
	falseAlarmRatio   = 1.3
	falseAlarmSamples = 5
	// suspiciousRatio times the baseline plus suspiciousExtra is the answer time above
	// which the target may be cold.
	suspiciousRatio = 2.0
	suspiciousExtra = 5 * time.Millisecond
	// suspiciousDeviations raises this threshold for kinds of requests with variable
	// answer times: before suspiciousExtra is added, it is at least that many mean
	// deviations above the baseline.
	suspiciousDeviations = 6
	// baselineSamples is the number of samples needed for a baseline.
	baselineSamples = 8
	// averageSamples is the number of samples over which a baseline is averaged.
	averageSamples = 32
	// stableWindows is the number of stable windows after which a target counts as
	// warm although its limit isn't used.
	stableWindows = 5
	// streamWindows is the number of cold windows after which the limit grows even
	// though streaming answers exhaust it, so that there are no samples.
	streamWindows = 5
	// maxWindowTimes is the number of answer times kept per window.
	maxWindowTimes = 128
	// trimmedPart sets the share of answer times that trimmedMean leaves out at each
	// end: one in trimmedPart.
	trimmedPart = 5
	// minAnswerTime replaces shorter answer times, in seconds, so that ratios of answer
	// times are finite.
	minAnswerTime = 1e-6
	// growthSteps is the number of steps in which the limit grows up to the slots.
	growthSteps = 8
)

// phase is the estimator's assessment of the target.
type phase uint8

const (
	// phaseNew targets have no baseline yet.
	phaseNew phase = iota
	// phaseWarm targets answer within the baseline.
	phaseWarm
	// phaseSuspect targets have shown a sign of being cold, to be confirmed or
	// dismissed.
	phaseSuspect
	// phaseCold targets answer slower than the baseline.
	phaseCold
)

// kindTimes holds the answer times of one kind, in seconds.
type kindTimes struct {
	// baseline is the moving average of the answer times of the target while it is
	// warm or new, deviation that of their distances from the baseline, and samples
	// the number of answer times in them, at most averageSamples.
	baseline  float64
	deviation float64
	samples   int
	current   window
	previous  window
}

// window holds the latest answer times of one kind in one window, in seconds, and the
// number of all its answers.
type window struct {
	times   []float64
	samples int
}

func (w *window) add(seconds float64) {
	if len(w.times) < maxWindowTimes {
		w.times = append(w.times, seconds)
	} else {
		w.times[w.samples%maxWindowTimes] = seconds
	}
	w.samples++
}

// trimmedMean returns the mean without the largest and smallest times, so that a pause
// of the machine has little effect.
func (w *window) trimmedMean() float64 {
	sorted := slices.Sorted(slices.Values(w.times))
	cut := len(sorted) / trimmedPart
	sorted = sorted[cut : len(sorted)-cut]
	var sum float64
	for _, seconds := range sorted {
		sum += seconds
	}
	return sum / float64(len(sorted))
}

// limitEstimator finds the concurrency limit of one target from its answer times.
type limitEstimator struct {
	slots int
	limit int
	phase phase
	kinds [KindCount]kindTimes
	// samplesFrom is the earliest start of a request whose answer time counts as a
	// sample: when the limit was last reset to one.
	samplesFrom model.Instant
	// windowStart is when the current window began, windowSamples the number of
	// answers in it, and windowPeak the maximum number of counted requests in it. Counted
	// requests are those that count against the limit (Controller.counted).
	windowStart   model.Instant
	windowSamples int
	windowPeak    int
	// idleStart is when the current idle window began, and idlePeak the maximum number
	// of counted requests in it.
	idleStart model.Instant
	idlePeak  int
	// drifts holds the relative changes of the answer times between the latest windows
	// of a cold target.
	drifts []float64
	// warmLimit is the limit of a warm target before it showed a sign of being cold.
	warmLimit int
	// ratios holds the ratios of the first answers after a sign of being cold to the
	// baseline.
	ratios []float64
	// stableCount counts consecutive windows in which the answer times of a cold target
	// neither rose nor still fell, and warmCount those in which they were at the
	// baseline.
	stableCount int
	warmCount   int
}

func newLimitEstimator(slots int, now model.Instant) limitEstimator {
	return limitEstimator{slots: slots, limit: 1, samplesFrom: now, windowStart: now, idleStart: now}
}

func (e *limitEstimator) cold() bool { return e.phase != phaseWarm }

func (e *limitEstimator) recordUse(counted int) {
	e.windowPeak = max(e.windowPeak, counted)
	e.idlePeak = max(e.idlePeak, counted)
}

// baseline returns the baseline answer time of a kind, or 0 when there is none yet.
func (e *limitEstimator) baseline(kind Kind) time.Duration {
	k := &e.kinds[kind]
	if k.samples < baselineSamples {
		return 0
	}
	return time.Duration(k.baseline * float64(time.Second))
}

// suspicious reports whether an answer time indicates that the target may be cold.
func (e *limitEstimator) suspicious(kind Kind, elapsed time.Duration) bool {
	k := &e.kinds[kind]
	if e.phase == phaseSuspect || e.phase == phaseCold || k.samples < baselineSamples {
		return false
	}
	threshold := max(suspiciousRatio*k.baseline, k.baseline+suspiciousDeviations*k.deviation)
	return elapsed.Seconds() > threshold+suspiciousExtra.Seconds()
}

// recordSample records the answer time of a request and reports whether the target may
// have become cold. It ignores requests that started before samplesFrom.
func (e *limitEstimator) recordSample(now model.Instant, kind Kind, elapsed time.Duration) bool {
	if now.Add(-elapsed) < e.samplesFrom {
		return false
	}
	k := &e.kinds[kind]
	seconds := max(elapsed.Seconds(), minAnswerTime)
	k.current.add(seconds)
	e.windowSamples++
	if e.phase == phaseSuspect && k.samples >= baselineSamples {
		e.ratios = append(e.ratios, seconds/k.baseline)
	}
	if e.phase == phaseSuspect || e.phase == phaseCold {
		return false
	}
	if e.suspicious(kind, elapsed) {
		return true
	}
	k.update(seconds)
	return false
}

// update adds an answer time to the baseline and the deviation.
func (k *kindTimes) update(seconds float64) {
	k.samples = min(k.samples+1, averageSamples)
	weight := 1 / float64(k.samples)
	k.deviation += (math.Abs(seconds-k.baseline) - k.deviation) * weight
	if k.samples == 1 {
		k.deviation = 0
	}
	k.baseline += (seconds - k.baseline) * weight
}

// suspectCold sets the limit to one until answers confirm or dismiss that the target
// is cold.
func (e *limitEstimator) suspectCold(now model.Instant) {
	e.warmLimit = 1
	if e.phase == phaseWarm {
		e.warmLimit = e.limit
	}
	if e.phase != phaseNew {
		e.phase = phaseSuspect
	}
	e.samplesFrom = now
	e.limit = 1
	e.ratios = e.ratios[:0]
	e.startWindow(now)
	e.resetTrend()
}

// halve halves the limit after the target rejected a request for lack of capacity.
func (e *limitEstimator) halve(now model.Instant) {
	e.limit = max(1, e.limit/2)
	e.startWindow(now)
}

// resetTrend discards the comparisons between windows.
func (e *limitEstimator) resetTrend() {
	for i := range e.kinds {
		e.kinds[i].previous = window{}
	}
	e.drifts = e.drifts[:0]
	e.stableCount = 0
	e.warmCount = 0
}

// startWindow starts a new window. Of each kind that has answer times in the current
// window, that one becomes the previous window.
func (e *limitEstimator) startWindow(now model.Instant) {
	for i := range e.kinds {
		k := &e.kinds[i]
		if k.current.samples > 0 {
			k.previous, k.current = k.current, window{times: k.previous.times[:0]}
		}
	}
	e.windowStart = now
	e.windowSamples = 0
	e.windowPeak = 0
}

// advance ends the window when it is due, and grows or keeps the limit. With streaming
// set, streaming answers alone exhaust the limit.
func (e *limitEstimator) advance(now model.Instant, counted int, streaming bool) {
	e.decay(now, counted)
	length, samples := e.windowSize()
	age := now.Sub(e.windowStart)
	noSamples := streaming && e.windowSamples == 0 && age >= streamWindows*coldWindow
	if !noSamples && (age < length || e.windowSamples < samples) {
		return
	}
	used := e.windowPeak >= e.limit || counted >= e.limit
	if noSamples {
		e.grow()
	} else {
		e.evaluateWindow(used)
	}
	e.startWindow(now)
	e.windowPeak = counted
}

// windowSize returns the minimum length of the window and its minimum number of
// samples.
func (e *limitEstimator) windowSize() (time.Duration, int) {
	switch e.phase {
	case phaseWarm:
		return warmWindow, 2 * e.limit
	case phaseSuspect:
		return 0, falseAlarmSamples
	default:
		return coldWindow, 2 * e.limit
	}
}

// evaluateWindow adjusts phase and limit at the end of a window; used is set if requests
// reached the limit in it.
func (e *limitEstimator) evaluateWindow(used bool) {
	drift, compared := e.drift()
	switch e.phase {
	case phaseWarm:
		if used && drift < risingDrift {
			e.grow()
		}
	case phaseSuspect:
		e.phase = phaseCold
		if e.falseAlarm() {
			e.phase = phaseWarm
			e.limit = e.warmLimit
		}
	default:
		e.evaluateCold(drift, compared, used)
	}
}

// falseAlarm reports whether the median answer time after a sign of being cold was at
// most falseAlarmRatio times the baseline. A few slow answers indicate a pause, not a cold
// target.
func (e *limitEstimator) falseAlarm() bool {
	if len(e.ratios) == 0 {
		return false
	}
	slices.Sort(e.ratios)
	return e.ratios[len(e.ratios)/2] <= falseAlarmRatio
}

// evaluateCold grows the limit of a cold or new target by a step when its answer times
// are neither rising nor still falling. If that holds while all slots are used, or in
// stableWindows consecutive windows, the target counts as warm with a new baseline.
func (e *limitEstimator) evaluateCold(drift float64, compared, used bool) {
	e.detectWarm()
	if !compared || e.phase == phaseWarm {
		return
	}
	e.drifts = append(e.drifts, drift)
	if len(e.drifts) > trendWindows {
		e.drifts = e.drifts[1:]
	}
	if len(e.drifts) < trendWindows || e.trend() <= fallingTrend || drift >= risingDrift {
		e.stableCount = 0
		return
	}
	e.stableCount++
	switch {
	case used && e.limit < e.slots:
		e.grow()
	case used || e.stableCount >= stableWindows:
		e.phase = phaseWarm
		e.resetBaselines()
	}
}

// detectWarm marks a cold target as warm when its answer times are back at the
// baseline.
func (e *limitEstimator) detectWarm() {
	if e.phase != phaseCold || e.ratio() > warmRatio {
		e.warmCount = 0
		return
	}
	e.warmCount++
	if e.warmCount >= warmWindows {
		e.phase = phaseWarm
	}
}

// trend returns the relative change of the answer times over the latest trendWindows
// windows.
func (e *limitEstimator) trend() float64 {
	var sum float64
	for _, drift := range e.drifts {
		sum += drift
	}
	return sum
}

// grow raises the limit by a step, at most to the slots; the limit of a warm target
// doubles.
func (e *limitEstimator) grow() {
	step := min(e.limit, (e.slots+growthSteps-1)/growthSteps)
	if !e.cold() {
		step = e.limit
	}
	e.limit = min(e.slots, e.limit+step)
}

// resetBaselines replaces the baselines by the answer times of the current window. The
// deviations start at an assumed quarter of the baselines.
func (e *limitEstimator) resetBaselines() {
	for i := range e.kinds {
		k := &e.kinds[i]
		k.samples = 0
		k.baseline = 0
		k.deviation = 0
		if k.current.samples > 0 {
			k.baseline = k.current.trimmedMean()
			k.samples = min(k.current.samples, baselineSamples)
			k.deviation = k.baseline / 4
		}
	}
}

// decay halves a limit of which no more than half was used during idleWindow, because
// nothing shows that the target can still take it. A target that is still fast regains it
// soon.
func (e *limitEstimator) decay(now model.Instant, counted int) {
	if now.Sub(e.idleStart) < idleWindow {
		return
	}
	if e.idlePeak <= e.limit/2 {
		e.limit = max(1, (e.limit+1)/2)
	}
	e.idleStart = now
	e.idlePeak = counted
}

// drift returns the relative change of the answer times since the previous window, as
// the logarithm of their ratio and weighted by samples, and whether any kind has answer
// times in both windows.
func (e *limitEstimator) drift() (float64, bool) {
	var sum, weight float64
	for i := range e.kinds {
		k := &e.kinds[i]
		n := float64(min(k.current.samples, k.previous.samples))
		if n == 0 {
			continue
		}
		sum += n * math.Log(k.current.trimmedMean()/k.previous.trimmedMean())
		weight += n
	}
	if weight == 0 {
		return 0, false
	}
	return sum / weight, true
}

// ratio returns the ratio of the window's answer times to the baseline, or infinity if
// no kind has both.
func (e *limitEstimator) ratio() float64 {
	var sum, weight float64
	for i := range e.kinds {
		k := &e.kinds[i]
		if k.current.samples == 0 || k.samples < baselineSamples {
			continue
		}
		n := float64(k.current.samples)
		sum += n * k.current.trimmedMean() / k.baseline
		weight += n
	}
	if weight == 0 {
		return math.Inf(1)
	}
	return sum / weight
}
