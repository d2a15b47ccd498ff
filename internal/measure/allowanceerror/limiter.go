package allowanceerror

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// limiter applies an allowance exactly, with what it knows.
type limiter struct {
	rate  float64
	burst float64
	slots int
	units uint64

	level float64
	at    model.Instant
	open  int
	used  uint64
}

func newLimiter(a plan.Allowance, share int) *limiter {
	return &limiter{
		rate:  a.RequestsPerSecond / float64(share),
		burst: max(float64(a.Burst)/float64(share), 1),
		slots: max(int(a.InFlight)/share, 1),
		units: a.UnitsPerMonth / uint64(share),
		at:    start,
	}
}

func (l *limiter) admit(now model.Instant) bool {
	l.level = min(l.level+l.rate*now.Sub(l.at).Seconds(), l.burst)
	l.at = now
	if l.level < 1 || l.open >= l.slots || l.used >= l.units {
		return false
	}
	l.level--
	l.open++
	l.used++
	return true
}

// limiters is a policy in which each node decides by itself.
type limiters struct {
	of func(node int) *limiter
}

// shared gives all nodes one limiter, which no real node has.
func shared(a plan.Allowance) *limiters {
	one := newLimiter(a, 1)
	return &limiters{of: func(int) *limiter { return one }}
}

// divided gives each node a limiter of its own with a part of the allowance.
func divided(a plan.Allowance, share int) *limiters {
	var all [nodes]*limiter
	for i := range all {
		all[i] = newLimiter(a, share)
	}
	return &limiters{of: func(node int) *limiter { return all[node] }}
}

func (l *limiters) arrive(s *sim, request arrival) {
	limiter := l.of(request.node)
	if limiter.admit(s.now) {
		s.admitted(request, 0, func() { limiter.open-- })
	}
}

// increments is the way of atomic increments in the platform: each node adds
// its use to a common counter from time to time and reads it back.
type increments struct {
	limit uint64
	total uint64
	known [nodes]uint64
	local [nodes]uint64
}

// flushInterval is the paper's default.
const flushInterval = 10 * time.Second

func newIncrements(a plan.Allowance) *increments { return &increments{limit: a.UnitsPerMonth} }

func (p *increments) begin(s *sim) {
	for node := range nodes {
		first := flushInterval * time.Duration(node+1) / nodes
		s.after(first, func() { p.flush(s, node) })
	}
}

func (p *increments) flush(s *sim, node int) {
	p.total += p.local[node]
	p.local[node] = 0
	p.known[node] = p.total
	s.platformCalls += 2
	s.after(flushInterval, func() { p.flush(s, node) })
}

func (p *increments) arrive(s *sim, request arrival) {
	if p.known[request.node]+p.local[request.node] >= p.limit {
		return
	}
	p.local[request.node]++
	s.admitted(request, 0, func() {})
}
