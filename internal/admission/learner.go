package admission

import (
	"math"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// coldWindow is how long a target that may be cold is watched before the
	// limit grows by a step.
	coldWindow = 2 * time.Second
	// warmWindow is the same for a warm target.
	warmWindow = 200 * time.Millisecond
	// idleWindow is how long a limit lasts that isn't made use of.
	idleWindow = 10 * time.Second
	// trendWindows is the number of windows over which the answer times of a
	// cold target are compared.
	trendWindows = 4
	// fallingTrend is the relative change of the answer time over trendWindows
	// that shows that the target is still warming.
	fallingTrend = -0.05
	// risingDrift is the change between two windows that shows that the last
	// step was too much for now.
	risingDrift = 0.25
	// warmRatio is how much slower than usual a target may answer that is warm
	// again, over warmWindows cold windows.
	warmRatio   = 1.1
	warmWindows = 2
	// falseAlarmRatio is how much slower than usual the middle one of the first
	// answers may be when a target has not turned cold after all.
	falseAlarmRatio   = 1.3
	falseAlarmSamples = 5
	// suspiciousRatio and suspiciousExtra tell how much slower than usual an
	// answer is when the target may have turned cold.
	suspiciousRatio = 2.0
	suspiciousExtra = 5 * time.Millisecond
	// suspiciousDeviations is the same in mean deviations, for kinds of requests
	// whose times vary.
	suspiciousDeviations = 6
	// usualSamples is the number of samples that make a usual time.
	usualSamples = 8
	// averageSamples is the number of samples that a usual time is averaged over.
	averageSamples = 32
	// steadyWindows is the number of windows without a change after which a
	// target counts as warm although its limit isn't made use of.
	steadyWindows = 5
	// streamWindows is the number of cold windows in which streams take up the
	// limit, so that nothing can be learnt, before it grows all the same.
	streamWindows = 5
	// windowTimes is the number of answer times that are kept for a window.
	windowTimes = 128
	// trimmedPart is the part of them, from 1, that is left out at each end.
	trimmedPart = 5
	// shortestTime stands for answer times below it, in seconds.
	shortestTime = 1e-6
	// growthSteps is the number of steps in which the limit grows to the slots.
	growthSteps = 8
)

// phase is what the learner takes the target for.
type phase uint8

const (
	// phaseNew targets have no usual answer times yet.
	phaseNew phase = iota
	// phaseWarm targets answer as usual.
	phaseWarm
	// phaseVerify targets showed a sign of being cold.
	phaseVerify
	// phaseCold targets answer slower than usual.
	phaseCold
)

// kindTimes holds the answer times of one kind, in seconds.
type kindTimes struct {
	usual     float64
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
	if len(w.times) < windowTimes {
		w.times = append(w.times, seconds)
	} else {
		w.times[w.samples%windowTimes] = seconds
	}
	w.samples++
}

// middle returns the mean without the largest and the smallest times, so that a
// pause of the machine moves it little.
func (w *window) middle() float64 {
	sorted := slices.Sorted(slices.Values(w.times))
	cut := len(sorted) / trimmedPart
	sorted = sorted[cut : len(sorted)-cut]
	var sum float64
	for _, seconds := range sorted {
		sum += seconds
	}
	return sum / float64(len(sorted))
}

// learner finds the limit of one target from its answer times.
type learner struct {
	slots int
	limit int
	phase phase
	kinds [KindCount]kindTimes
	// since is when the phase began that the samples have to belong to.
	since model.Instant
	// windowStart is when the current window began, windowSamples how many
	// answers came in it, and windowPeak the largest use in it.
	windowStart   model.Instant
	windowSamples int
	windowPeak    int
	idleStart     model.Instant
	idlePeak      int
	// drifts holds the changes between the latest windows of a cold target.
	drifts []float64
	// before is the limit of a warm target before a sign of cold.
	before int
	// ratios compares the first answers after a sign of cold with the usual times.
	ratios []float64
	// steady counts windows without a change, and warm those at the usual time.
	steady int
	warm   int
}

func newLearner(slots int, now model.Instant) learner {
	return learner{slots: slots, limit: 1, since: now, windowStart: now, idleStart: now}
}

func (l *learner) cold() bool { return l.phase != phaseWarm }

func (l *learner) use(counted int) {
	l.windowPeak = max(l.windowPeak, counted)
	l.idlePeak = max(l.idlePeak, counted)
}

// usual returns the usual answer time of a kind, or 0 when it isn't known.
func (l *learner) usual(kind Kind) time.Duration {
	k := &l.kinds[kind]
	if k.samples < usualSamples {
		return 0
	}
	return time.Duration(k.usual * float64(time.Second))
}

// suspicious reports whether an answer time shows that the target may have
// turned cold.
func (l *learner) suspicious(kind Kind, took time.Duration) bool {
	k := &l.kinds[kind]
	if l.phase == phaseVerify || l.phase == phaseCold || k.samples < usualSamples {
		return false
	}
	most := max(suspiciousRatio*k.usual, k.usual+suspiciousDeviations*k.deviation)
	return took.Seconds() > most+suspiciousExtra.Seconds()
}

// sample notes an answer time and reports whether the target may have turned
// cold.
func (l *learner) sample(now model.Instant, kind Kind, took time.Duration) bool {
	if now.Add(-took) < l.since {
		return false
	}
	k := &l.kinds[kind]
	seconds := max(took.Seconds(), shortestTime)
	k.current.add(seconds)
	l.windowSamples++
	if l.phase == phaseVerify && k.samples >= usualSamples {
		l.ratios = append(l.ratios, seconds/k.usual)
	}
	if l.phase == phaseVerify || l.phase == phaseCold {
		return false
	}
	if l.suspicious(kind, took) {
		return true
	}
	k.learn(seconds)
	return false
}

func (k *kindTimes) learn(seconds float64) {
	k.samples = min(k.samples+1, averageSamples)
	part := 1 / float64(k.samples)
	k.deviation += (math.Abs(seconds-k.usual) - k.deviation) * part
	if k.samples == 1 {
		k.deviation = 0
	}
	k.usual += (seconds - k.usual) * part
}

// chill takes the limit down to one until answers show how the target is.
func (l *learner) chill(now model.Instant) {
	l.before = 1
	if l.phase == phaseWarm {
		l.before = l.limit
	}
	if l.phase != phaseNew {
		l.phase = phaseVerify
	}
	l.since = now
	l.limit = 1
	l.ratios = l.ratios[:0]
	l.startWindow(now)
	l.forgetTrend()
}

// halve takes the limit down after the target had no room.
func (l *learner) halve(now model.Instant) {
	l.limit = max(1, l.limit/2)
	l.startWindow(now)
}

func (l *learner) forgetTrend() {
	for i := range l.kinds {
		l.kinds[i].previous = window{}
	}
	l.drifts = l.drifts[:0]
	l.steady = 0
	l.warm = 0
}

func (l *learner) startWindow(now model.Instant) {
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

// advance ends the window when it is due, and grows or keeps the limit.
// Streaming tells that the limit is taken up by streams alone.
func (l *learner) advance(now model.Instant, counted int, streaming bool) {
	l.decay(now, counted)
	length, samples := l.windowSize()
	age := now.Sub(l.windowStart)
	blind := streaming && l.windowSamples == 0 && age >= streamWindows*coldWindow
	if !blind && (age < length || l.windowSamples < samples) {
		return
	}
	used := l.windowPeak >= l.limit || counted >= l.limit
	if blind {
		l.grow()
	} else {
		l.judge(used)
	}
	l.startWindow(now)
	l.windowPeak = counted
}

// windowSize returns the least length of the window and its least samples.
func (l *learner) windowSize() (time.Duration, int) {
	switch l.phase {
	case phaseWarm:
		return warmWindow, 2 * l.limit
	case phaseVerify:
		return 0, falseAlarmSamples
	default:
		return coldWindow, 2 * l.limit
	}
}

// judge decides at the end of a window what it showed.
func (l *learner) judge(used bool) {
	drift, compared := l.drift()
	switch l.phase {
	case phaseWarm:
		if used && drift < risingDrift {
			l.grow()
		}
	case phaseVerify:
		l.phase = phaseCold
		if l.falseAlarm() {
			l.phase = phaseWarm
			l.limit = l.before
		}
	default:
		l.judgeCold(drift, compared, used)
	}
}

// falseAlarm reports whether most of the first answers after a sign of cold came
// in the usual time. A few slow ones show a pause, not a cold target.
func (l *learner) falseAlarm() bool {
	if len(l.ratios) == 0 {
		return false
	}
	slices.Sort(l.ratios)
	return l.ratios[len(l.ratios)/2] <= falseAlarmRatio
}

// judgeCold lets the limit of a cold target grow by a step when its answer
// times neither rose nor are still falling.
func (l *learner) judgeCold(drift float64, compared, used bool) {
	l.noteWarm()
	if !compared || l.phase == phaseWarm {
		return
	}
	l.drifts = append(l.drifts, drift)
	if len(l.drifts) > trendWindows {
		l.drifts = l.drifts[1:]
	}
	if len(l.drifts) < trendWindows || l.trend() <= fallingTrend || drift >= risingDrift {
		l.steady = 0
		return
	}
	l.steady++
	switch {
	case used && l.limit < l.slots:
		l.grow()
	case used || l.steady >= steadyWindows:
		l.phase = phaseWarm
		l.relearn()
	}
}

// noteWarm counts a target as warm that was cold and is as fast as usual again.
func (l *learner) noteWarm() {
	if l.phase != phaseCold || l.ratio() > warmRatio {
		l.warm = 0
		return
	}
	l.warm++
	if l.warm >= warmWindows {
		l.phase = phaseWarm
	}
}

func (l *learner) trend() float64 {
	var sum float64
	for _, drift := range l.drifts {
		sum += drift
	}
	return sum
}

// grow raises the limit by a step; a warm target's limit doubles.
func (l *learner) grow() {
	step := min(l.limit, (l.slots+growthSteps-1)/growthSteps)
	if !l.cold() {
		step = l.limit
	}
	l.limit = min(l.slots, l.limit+step)
}

// relearn takes the answer times of the current window as the usual ones.
func (l *learner) relearn() {
	for i := range l.kinds {
		k := &l.kinds[i]
		k.samples = 0
		k.usual = 0
		k.deviation = 0
		if k.current.samples > 0 {
			k.usual = k.current.middle()
			k.samples = min(k.current.samples, usualSamples)
			k.deviation = k.usual / 4
		}
	}
}

// decay halves a limit that wasn't made use of, since nothing shows that the
// target still bears it. A target that is still fast gets it back soon.
func (l *learner) decay(now model.Instant, counted int) {
	if now.Sub(l.idleStart) < idleWindow {
		return
	}
	if l.idlePeak <= l.limit/2 {
		l.limit = max(1, (l.limit+1)/2)
	}
	l.idleStart = now
	l.idlePeak = counted
}

// drift returns the relative change of the answer times since the previous
// window, weighed by the samples, and whether the windows can be compared.
func (l *learner) drift() (float64, bool) {
	var sum, weight float64
	for i := range l.kinds {
		k := &l.kinds[i]
		n := float64(min(k.current.samples, k.previous.samples))
		if n == 0 {
			continue
		}
		sum += n * math.Log(k.current.middle()/k.previous.middle())
		weight += n
	}
	if weight == 0 {
		return 0, false
	}
	return sum / weight, true
}

// ratio returns how much slower than usual the answers of the window were.
func (l *learner) ratio() float64 {
	var sum, weight float64
	for i := range l.kinds {
		k := &l.kinds[i]
		if k.current.samples == 0 || k.samples < usualSamples {
			continue
		}
		n := float64(k.current.samples)
		sum += n * k.current.middle() / k.usual
		weight += n
	}
	if weight == 0 {
		return math.Inf(1)
	}
	return sum / weight
}
