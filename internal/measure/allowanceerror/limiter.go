package allowanceerror

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// limiter applies an allowance exactly to the requests that it sees: a token
// bucket for the rate, and bounds on requests in flight and on units.
type limiter struct {
	// rate is in requests per second.
	rate        float64
	burst       float64
	maxInFlight int
	maxUnits    uint64

	// tokens is the level of the token bucket at updatedAt.
	tokens    float64
	updatedAt model.Instant
	inFlight  int
	usedUnits uint64
}

// newLimiter returns a limiter of the allowance divided by divisor. The quotients of
// burst and requests in flight are at least 1. The token bucket is empty at first.
func newLimiter(a plan.Allowance, divisor int) *limiter {
	return &limiter{
		rate:        a.RequestsPerSecond / float64(divisor),
		burst:       max(float64(a.Burst)/float64(divisor), 1),
		maxInFlight: max(int(a.InFlight)/divisor, 1),
		maxUnits:    a.UnitsPerMonth / uint64(divisor),
		updatedAt:   start,
	}
}

func (l *limiter) admit(now model.Instant) bool {
	l.tokens = min(l.tokens+l.rate*now.Sub(l.updatedAt).Seconds(), l.burst)
	l.updatedAt = now
	if l.tokens < 1 || l.inFlight >= l.maxInFlight || l.usedUnits >= l.maxUnits {
		return false
	}
	l.tokens--
	l.inFlight++
	l.usedUnits++
	return true
}

// limiters is a policy in which each request is decided by the limiter of its node,
// which may be shared with other nodes.
type limiters struct {
	forNode func(node int) *limiter
}

// sharedLimiter returns the ideal policy: one exact limiter for all nodes, which a
// distributed system cannot have.
func sharedLimiter(a plan.Allowance) *limiters {
	shared := newLimiter(a, 1)
	return &limiters{forNode: func(int) *limiter { return shared }}
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
	nodeLimiter := l.forNode(request.node)
	if nodeLimiter.admit(s.now) {
		s.recordAdmission(request, 0, func() { nodeLimiter.inFlight-- })
	}
}

// incrementPolicy models atomic increments of a shared counter in the platform:
// every flushInterval each node adds its usage to the counter and reads the total. It
// limits only the units, not the rate or the requests in flight.
type incrementPolicy struct {
	// maxUnits is the number of units that the plan allows.
	maxUnits uint64
	// total is the shared counter.
	total uint64
	// lastRead is the total that each node last read; unflushed is the usage that it has
	// not yet added to the counter.
	lastRead  [nodes]uint64
	unflushed [nodes]uint64
}

// flushInterval is the default interval of the published design that incrementPolicy
// models.
const flushInterval = 10 * time.Second

func newIncrementPolicy(a plan.Allowance) *incrementPolicy {
	return &incrementPolicy{maxUnits: a.UnitsPerMonth}
}

// begin spreads the nodes' flushes evenly over flushInterval.
func (p *incrementPolicy) begin(s *sim) {
	for node := range nodes {
		phase := flushInterval * time.Duration(node+1) / nodes
		s.after(phase, func() { p.flush(s, node) })
	}
}

func (p *incrementPolicy) flush(s *sim, node int) {
	p.total += p.unflushed[node]
	p.unflushed[node] = 0
	p.lastRead[node] = p.total
	s.platformCalls += 2
	s.after(flushInterval, func() { p.flush(s, node) })
}

func (p *incrementPolicy) arrive(s *sim, request arrival) {
	if p.lastRead[request.node]+p.unflushed[request.node] >= p.maxUnits {
		return
	}
	p.unflushed[request.node]++
	s.recordAdmission(request, 0, func() {})
}
