package allowanceerror

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// limiter applies an allowance exactly to the requests that it sees: a token
// bucket for the rate, and bounds on requests in flight and on units.
type limiter struct {
	rate  float64
	burst float64
	slots int
	units uint64

	tokens    float64
	updatedAt model.Instant
	inFlight  int
	usedUnits uint64
}

// newLimiter returns a limiter of the allowance divided by divisor.
func newLimiter(a plan.Allowance, divisor int) *limiter {
	return &limiter{
		rate:      a.RequestsPerSecond / float64(divisor),
		burst:     max(float64(a.Burst)/float64(divisor), 1),
		slots:     max(int(a.InFlight)/divisor, 1),
		units:     a.UnitsPerMonth / uint64(divisor),
		updatedAt: start,
	}
}

func (l *limiter) admit(now model.Instant) bool {
	l.tokens = min(l.tokens+l.rate*now.Sub(l.updatedAt).Seconds(), l.burst)
	l.updatedAt = now
	if l.tokens < 1 || l.inFlight >= l.slots || l.usedUnits >= l.units {
		return false
	}
	l.tokens--
	l.inFlight++
	l.usedUnits++
	return true
}

// limiters is a policy in which each request is decided by the limiter of its node.
type limiters struct {
	forNode func(node int) *limiter
}

// sharedLimiter returns the ideal policy: one exact limiter for all nodes, which a
// distributed system cannot have.
func sharedLimiter(a plan.Allowance) *limiters {
	one := newLimiter(a, 1)
	return &limiters{forNode: func(int) *limiter { return one }}
}

// dividedLimiters gives each node its own limiter of the allowance divided by
// divisor.
func dividedLimiters(a plan.Allowance, divisor int) *limiters {
	var all [nodes]*limiter
	for i := range all {
		all[i] = newLimiter(a, divisor)
	}
	return &limiters{forNode: func(node int) *limiter { return all[node] }}
}

func (l *limiters) arrive(s *sim, request arrival) {
	limiter := l.forNode(request.node)
	if limiter.admit(s.now) {
		s.recordAdmission(request, 0, func() { limiter.inFlight-- })
	}
}

// incrementPolicy models atomic increments of a shared counter in the platform:
// every flushInterval each node adds its usage to the counter and reads the total.
type incrementPolicy struct {
	limit uint64
	total uint64
	known [nodes]uint64
	local [nodes]uint64
}

// flushInterval is the default of the published design that incrementPolicy models.
const flushInterval = 10 * time.Second

func newIncrementPolicy(a plan.Allowance) *incrementPolicy {
	return &incrementPolicy{limit: a.UnitsPerMonth}
}

func (p *incrementPolicy) begin(s *sim) {
	for node := range nodes {
		first := flushInterval * time.Duration(node+1) / nodes
		s.after(first, func() { p.flush(s, node) })
	}
}

func (p *incrementPolicy) flush(s *sim, node int) {
	p.total += p.local[node]
	p.local[node] = 0
	p.known[node] = p.total
	s.platformCalls += 2
	s.after(flushInterval, func() { p.flush(s, node) })
}

func (p *incrementPolicy) arrive(s *sim, request arrival) {
	if p.known[request.node]+p.local[request.node] >= p.limit {
		return
	}
	p.local[request.node]++
	s.recordAdmission(request, 0, func() {})
}
