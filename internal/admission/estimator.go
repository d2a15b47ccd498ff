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
	// idleWindow is how long a limit that isn't used is kept.
	idleWindow = 10 * time.Second
	// trendWindows is the number of windows over which the trend of a cold target's
	// answer times is computed.
	trendWindows = 4
	// fallingTrend is the relative change of the answer time over trendWindows at or
	// below which the target is still warming up.
	fallingTrend = -0.05
	// risingDrift is the change between two windows at which the last step was too
	// large for now.
	risingDrift = 0.25
	// warmRatio is the ratio of answer times to the baseline up to which a target
	// counts as warm again, over warmWindows cold windows.
	warmRatio   = 1.1
	warmWindows = 2
	// falseAlarmRatio is the median ratio of the first answers to the baseline up to
	// which a target has not become cold after all. falseAlarmSamples is the number of
	// these answers.
	falseAlarmRatio   = 1.3
	falseAlarmSamples = 5
	// suspiciousRatio times the baseline plus suspiciousExtra is the answer time above
	// which the target may be cold.
	suspiciousRatio = 2.0
	suspiciousExtra = 5 * time.Millisecond
	// suspiciousDeviations raises this threshold for kinds of requests with variable
	// answer times: it is the minimum in mean deviations above the baseline.
	suspiciousDeviations = 6
	// baselineSamples is the number of samples needed for a baseline.
	baselineSamples = 8
	// averageSamples is the number of samples over which a baseline is averaged.
	averageSamples = 32
	// stableWindows is the number of stable windows after which a target counts as
	// warm although its limit isn't used.
	stableWindows = 5
	// streamWindows is the number of cold windows after which the limit grows even
	// though streaming responses exhaust it, so that there are no samples.
	streamWindows = 5
	// maxWindowTimes is the number of answer times kept per window.
	maxWindowTimes = 128
	// trimmedPart sets the share of answer times that trimmedMean leaves out at each
	// end: one in trimmedPart.
	trimmedPart = 5
	// minAnswerTime replaces shorter answer times, in seconds.
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
	baseline  float64
	deviation float64
	samples   int
	current   window
	previous  window
}

// window holds the latest answer times of one kind, in seconds.
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
	// since is the earliest start of a request whose answer time counts as a sample.
	since model.Instant
	// windowStart is when the current window began, windowSamples the number of
	// answers in it, and windowPeak the maximum number of counted requests in it.
	windowStart   model.Instant
	windowSamples int
	windowPeak    int
	// idleStart is when the current idle window began, and idlePeak the maximum number
	// of counted requests in it.
	idleStart model.Instant
	idlePeak  int
	// drifts holds the changes between the latest windows of a cold target.
	drifts []float64
	// warmLimit is the limit of a warm target before it showed a sign of being cold.
	warmLimit int
	// ratios holds the ratios of the first answers after a sign of being cold to the
	// baseline.
	ratios []float64
	// stable counts consecutive windows in which the answer times of a cold target
	// neither rose nor still fell, and warm those in which they were at the baseline.
	stable int
	warm   int
}

func newLimitEstimator(slots int, now model.Instant) limitEstimator {
	return limitEstimator{slots: slots, limit: 1, since: now, windowStart: now, idleStart: now}
}

func (l *limitEstimator) cold() bool { return l.phase != phaseWarm }

func (l *limitEstimator) recordUse(counted int) {
	l.windowPeak = max(l.windowPeak, counted)
	l.idlePeak = max(l.idlePeak, counted)
}

// baseline returns the baseline answer time of a kind, or 0 when there is none yet.
func (l *limitEstimator) baseline(kind Kind) time.Duration {
	k := &l.kinds[kind]
	if k.samples < baselineSamples {
		return 0
	}
	return time.Duration(k.baseline * float64(time.Second))
}

// suspicious reports whether an answer time indicates that the target may be cold.
func (l *limitEstimator) suspicious(kind Kind, elapsed time.Duration) bool {
	k := &l.kinds[kind]
	if l.phase == phaseSuspect || l.phase == phaseCold || k.samples < baselineSamples {
		return false
	}
	threshold := max(suspiciousRatio*k.baseline, k.baseline+suspiciousDeviations*k.deviation)
	return elapsed.Seconds() > threshold+suspiciousExtra.Seconds()
}

// recordSample records an answer time and reports whether the target may be cold.
func (l *limitEstimator) recordSample(now model.Instant, kind Kind, elapsed time.Duration) bool {
	if now.Add(-elapsed) < l.since {
		return false
	}
	k := &l.kinds[kind]
	seconds := max(elapsed.Seconds(), minAnswerTime)
	k.current.add(seconds)
	l.windowSamples++
	if l.phase == phaseSuspect && k.samples >= baselineSamples {
		l.ratios = append(l.ratios, seconds/k.baseline)
	}
	if l.phase == phaseSuspect || l.phase == phaseCold {
		return false
	}
	if l.suspicious(kind, elapsed) {
		return true
	}
	k.update(seconds)
	return false
}

func (k *kindTimes) update(seconds float64) {
	k.samples = min(k.samples+1, averageSamples)
	part := 1 / float64(k.samples)
	k.deviation += (math.Abs(seconds-k.baseline) - k.deviation) * part
	if k.samples == 1 {
		k.deviation = 0
	}
	k.baseline += (seconds - k.baseline) * part
}

// suspectCold sets the limit to one until answers confirm or dismiss that the target
// is cold.
func (l *limitEstimator) suspectCold(now model.Instant) {
	l.warmLimit = 1
	if l.phase == phaseWarm {
		l.warmLimit = l.limit
	}
	if l.phase != phaseNew {
		l.phase = phaseSuspect
	}
	l.since = now
	l.limit = 1
	l.ratios = l.ratios[:0]
	l.startWindow(now)
	l.resetTrend()
}

// halve halves the limit after the target rejected a request for lack of capacity.
func (l *limitEstimator) halve(now model.Instant) {
	l.limit = max(1, l.limit/2)
	l.startWindow(now)
}

func (l *limitEstimator) resetTrend() {
	for i := range l.kinds {
		l.kinds[i].previous = window{}
	}
	l.drifts = l.drifts[:0]
	l.stable = 0
	l.warm = 0
}

func (l *limitEstimator) startWindow(now model.Instant) {
	for i := range l.kinds {
		k := &l.kinds[i]
		if k.current.samples > 0 {
			k.previous, k.current = k.current, window{times: k.previous.times[:0]}
		}
	}
	l.windowStart = now
	l.windowSamples = 0
	l.windowPeak = 0
}

// advance ends the window when it is due, and grows or keeps the limit. With streaming
// set, streaming responses alone exhaust the limit.
func (l *limitEstimator) advance(now model.Instant, counted int, streaming bool) {
	l.decay(now, counted)
	length, samples := l.windowSize()
	age := now.Sub(l.windowStart)
	noSamples := streaming && l.windowSamples == 0 && age >= streamWindows*coldWindow
	if !noSamples && (age < length || l.windowSamples < samples) {
		return
	}
	used := l.windowPeak >= l.limit || counted >= l.limit
	if noSamples {
		l.grow()
	} else {
		l.evaluateWindow(used)
	}
	l.startWindow(now)
	l.windowPeak = counted
}

// windowSize returns the minimum length of the window and its minimum number of
// samples.
func (l *limitEstimator) windowSize() (time.Duration, int) {
	switch l.phase {
	case phaseWarm:
		return warmWindow, 2 * l.limit
	case phaseSuspect:
		return 0, falseAlarmSamples
	default:
		return coldWindow, 2 * l.limit
	}
}

// evaluateWindow adjusts phase and limit at the end of a window.
func (l *limitEstimator) evaluateWindow(used bool) {
	drift, compared := l.drift()
	switch l.phase {
	case phaseWarm:
		if used && drift < risingDrift {
			l.grow()
		}
	case phaseSuspect:
		l.phase = phaseCold
		if l.falseAlarm() {
			l.phase = phaseWarm
			l.limit = l.warmLimit
		}
	default:
		l.evaluateCold(drift, compared, used)
	}
}

// falseAlarm reports whether most of the first answers after a sign of being cold were
// within the baseline. A few slow ones indicate a pause, not a cold target.
func (l *limitEstimator) falseAlarm() bool {
	if len(l.ratios) == 0 {
		return false
	}
	slices.Sort(l.ratios)
	return l.ratios[len(l.ratios)/2] <= falseAlarmRatio
}

// evaluateCold grows the limit of a cold target by a step when its answer times are
// neither rising nor still falling.
func (l *limitEstimator) evaluateCold(drift float64, compared, used bool) {
	l.detectWarm()
	if !compared || l.phase == phaseWarm {
		return
	}
	l.drifts = append(l.drifts, drift)
	if len(l.drifts) > trendWindows {
		l.drifts = l.drifts[1:]
	}
	if len(l.drifts) < trendWindows || l.trend() <= fallingTrend || drift >= risingDrift {
		l.stable = 0
		return
	}
	l.stable++
	switch {
	case used && l.limit < l.slots:
		l.grow()
	case used || l.stable >= stableWindows:
		l.phase = phaseWarm
		l.resetBaselines()
	}
}

// detectWarm marks a cold target as warm when its answer times are back at the
// baseline.
func (l *limitEstimator) detectWarm() {
	if l.phase != phaseCold || l.ratio() > warmRatio {
		l.warm = 0
		return
	}
	l.warm++
	if l.warm >= warmWindows {
		l.phase = phaseWarm
	}
}

func (l *limitEstimator) trend() float64 {
	var sum float64
	for _, drift := range l.drifts {
		sum += drift
	}
	return sum
}

// grow raises the limit by a step; the limit of a warm target doubles.
func (l *limitEstimator) grow() {
	step := min(l.limit, (l.slots+growthSteps-1)/growthSteps)
	if !l.cold() {
		step = l.limit
	}
	l.limit = min(l.slots, l.limit+step)
}

// resetBaselines replaces the baselines by the answer times of the current window.
func (l *limitEstimator) resetBaselines() {
	for i := range l.kinds {
		k := &l.kinds[i]
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

// decay halves a limit that wasn't used, because nothing shows that the target can
// still take it. A target that is still fast regains it soon.
func (l *limitEstimator) decay(now model.Instant, counted int) {
	if now.Sub(l.idleStart) < idleWindow {
		return
	}
	if l.idlePeak <= l.limit/2 {
		l.limit = max(1, (l.limit+1)/2)
	}
	l.idleStart = now
	l.idlePeak = counted
}

// drift returns the relative change of the answer times since the previous window,
// weighted by samples, and whether the windows are comparable.
func (l *limitEstimator) drift() (float64, bool) {
	var sum, weight float64
	for i := range l.kinds {
		k := &l.kinds[i]
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

// ratio returns the ratio of the window's answer times to the baseline.
func (l *limitEstimator) ratio() float64 {
	var sum, weight float64
	for i := range l.kinds {
		k := &l.kinds[i]
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
