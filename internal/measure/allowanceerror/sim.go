package allowanceerror

import (
	"container/heap"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	start      = model.Instant(time.Hour)
	rateWindow = 10 * time.Second
	percent    = 100
)

// policy decides about requests.
type policy interface {
	arrive(s *sim, request arrival)
}

// beginner is a policy with work of its own.
type beginner interface {
	begin(s *sim)
}

// sim runs one policy under one load in virtual time.
type sim struct {
	now    model.Instant
	events events
	serial int

	admissions    []model.Instant
	waits         []time.Duration
	open          int
	mostOpen      int
	platformCalls int
	bytes         [nodes]int
}

type event struct {
	at     model.Instant
	serial int
	do     func()
}

// events is a heap in the order of time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

func (s *sim) at(at model.Instant, do func()) {
	s.serial++
	heap.Push(&s.events, event{at: at, serial: s.serial, do: do})
}

// admitted notes an admission and calls done when the request has ended.
func (s *sim) admitted(request arrival, wait time.Duration, done func()) {
	s.admissions = append(s.admissions, s.now)
	s.waits = append(s.waits, wait)
	s.open++
	s.mostOpen = max(s.mostOpen, s.open)
	s.after(request.took, func() {
		s.open--
		done()
	})
}

func simulate(l load, p policy) *sim {
	s := &sim{now: start}
	for _, request := range l.arrivals {
		s.at(request.at, func() { p.arrive(s, request) })
	}
	if p, ok := p.(beginner); ok {
		p.begin(s)
	}
	for len(s.events) > 0 && s.events[0].at < start.Add(runTime) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	return s
}

// busiest returns the most admissions in any rateWindow.
func (s *sim) busiest() int {
	most, first := 0, 0
	for i, at := range s.admissions {
		for at.Sub(s.admissions[first]) >= rateWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (s *sim) result(l load, name string, ideal int) Figures {
	a := l.plan()
	allowed := float64(a.Burst) + a.RequestsPerSecond*rateWindow.Seconds()
	admitted := len(s.admissions)
	return Figures{
		Load: l.name, Policy: name,
		Offered: len(l.arrivals), Ideal: ideal, Admitted: admitted,
		RateOvershootPercent:   max(percent*(float64(s.busiest())/allowed-1), 0),
		InFlightOvershoot:      max(s.mostOpen-int(a.InFlight), 0),
		UnitsAbovePlan:         max(admitted-int(a.UnitsPerMonth), 0),
		RefusedAllowedPercent:  max(percent*(1-float64(admitted)/float64(ideal)), 0),
		PlatformCallsPerSecond: float64(s.platformCalls) / runTime.Seconds(),
		NodeBytesPerSecond:     float64(slices.Max(s.bytes[:])) / runTime.Seconds(),
		WaitP99Ms:              percentile(s.waits),
	}
}

func percentile(waits []time.Duration) float64 {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	return float64(sorted[len(sorted)*99/percent]) / float64(time.Millisecond)
}
