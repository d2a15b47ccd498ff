package allowanceerror

import (
	"container/heap"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// start is the virtual time at which a run begins.
	start = model.Instant(time.Hour)
	// rateWindow is the length of the window over which the rate overshoot is measured.
	rateWindow = 10 * time.Second
	percent    = 100
)

// policy decides whether to admit requests.
type policy interface {
	// arrive decides about a request that arrives now, or queues it. It calls
	// recordAdmission for each request that it admits.
	arrive(s *sim, request arrival)
}

// scheduledPolicy is a policy that schedules periodic work when a run begins.
type scheduledPolicy interface {
	begin(s *sim)
}

// sim runs one policy under one load in virtual time. Events at the same time run
// in the order in which they were scheduled.
type sim struct {
	now    model.Instant
	events eventQueue
	// sequence is the number of events scheduled so far.
	sequence int

	// admissions holds the time of each admission, and waits how long the request had
	// waited.
	admissions    []model.Instant
	waits         []time.Duration
	inFlight      int
	maxInFlight   int
	platformCalls int
	// nodeBytes is the traffic of each node with the shard owner.
	nodeBytes [nodes]int
}

type event struct {
	at       model.Instant
	sequence int
	run      func()
}

// eventQueue is a heap ordered by time, then by sequence.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules an event after a delay; at schedules it at an instant.
func (s *sim) after(delay time.Duration, do func()) { s.at(s.now.Add(delay), do) }

func (s *sim) at(at model.Instant, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: at, sequence: s.sequence, run: do})
}

// recordAdmission records an admission and calls done when the request has ended.
func (s *sim) recordAdmission(request arrival, wait time.Duration, done func()) {
	s.admissions = append(s.admissions, s.now)
	s.waits = append(s.waits, wait)
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	s.after(request.duration, func() {
		s.inFlight--
		done()
	})
}

// simulate runs a policy under a load and returns the ended simulation. Requests that
// arrive at the same time as an event of the policy come first.
func simulate(l load, p policy) *sim {
	s := &sim{now: start}
	for _, request := range l.arrivals {
		s.at(request.at, func() { p.arrive(s, request) })
	}
	if p, ok := p.(scheduledPolicy); ok {
		p.begin(s)
	}
	for len(s.events) > 0 && s.events[0].at < start.Add(runTime) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s
}

// maxAdmissionsInWindow returns the maximum number of admissions in any rateWindow.
func (s *sim) maxAdmissionsInWindow() int {
	most, first := 0, 0
	for i, at := range s.admissions {
		for at.Sub(s.admissions[first]) >= rateWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// result returns the figures of a run. ideal is the number of requests that one exact
// limiter for all nodes admits.
func (s *sim) result(l load, name string, ideal int) Figures {
	a := l.plan()
	allowed := float64(a.Burst) + a.RequestsPerSecond*rateWindow.Seconds()
	admitted := len(s.admissions)
	return Figures{
		Load: l.name, Policy: name,
		Offered: len(l.arrivals), Ideal: ideal, Admitted: admitted,
		RateOvershootPercent:   max(percent*(float64(s.maxAdmissionsInWindow())/allowed-1), 0),
		InFlightOvershoot:      max(s.maxInFlight-int(a.InFlight), 0),
		UnitsAbovePlan:         max(admitted-int(a.UnitsPerMonth), 0),
		RefusedAllowedPercent:  max(percent*(1-float64(admitted)/float64(ideal)), 0),
		PlatformCallsPerSecond: float64(s.platformCalls) / runTime.Seconds(),
		NodeBytesPerSecond:     float64(slices.Max(s.nodeBytes[:])) / runTime.Seconds(),
		WaitP99Ms:              percentile99MS(s.waits),
	}
}

// percentile99MS returns the 99th percentile in milliseconds, 0 without durations.
func percentile99MS(durations []time.Duration) float64 {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return float64(sorted[len(sorted)*99/percent]) / float64(time.Millisecond)
}
