package ledger

import (
	"math"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

const (
	// reserveDivisor sets the units that an owner reserves in the platform
	// beyond those granted: 1/reserveDivisor of the month's units.
	reserveDivisor = 400
	// sliceDivisor bounds one slice to 1/sliceDivisor of the month's units.
	sliceDivisor = 2000
	// remainderDivisor bounds one slice to 1/remainderDivisor of the remaining
	// units.
	remainderDivisor = 4
	// scarceDivisor marks units as scarce when less than 1/scarceDivisor of the
	// month's units remains.
	scarceDivisor = 200
	// scarceSlotDivisor marks in-flight slots as scarce once
	// 1/scarceSlotDivisor of the plan's slots are granted.
	scarceSlotDivisor = 2

	// minRetry and maxRetry bound the retry interval while a rate is exhausted.
	minRetry = 100 * time.Millisecond
	maxRetry = 200 * time.Millisecond

	// slotRetry is the retry interval while the in-flight slots are exhausted.
	slotRetry = 40 * time.Millisecond
	// longRetry is the retry interval after a refusal whose reason will last: the
	// units are exhausted, the plan does not allow the service, the month is not
	// current, a table is full, no owner can be reached, or the agent shuts down.
	longRetry = time.Second
	// ceilingRetry is the retry interval while a higher ceiling cannot be
	// written.
	ceilingRetry = 200 * time.Millisecond
)

// reserve returns how many units an owner reserves in the platform beyond those granted.
func reserve(a plan.Allowance) uint64 {
	return max(a.UnitsPerMonth/reserveDivisor, uint64(math.Ceil(a.RequestsPerSecond)), 1)
}

// grant answers one slice request with tokens, in-flight slots and units.
func (s *Shard) grant(now Moment, terms Terms, req Request, want SliceRequest) Grant {
	grant := Grant{Month: want.Month, Account: want.Account}
	allowance, allowed := terms.Allowances.Allowance(want.Account.Customer, want.Account.Service)
	if !allowed {
		return s.refuse(req.Node, grant)
	}
	rate := s.rate(now, want.Account)
	if rate == nil {
		grant.Refused = ReasonBusy
		grant.RetryAfterMS = milliseconds(longRetry)
		return grant
	}
	grant.PlanUnits = allowance.UnitsPerMonth
	agents := float64(max(terms.Agents(want.Account.Service), 1))
	grant.FallbackRate = float32(allowance.RequestsPerSecond / agents)
	s.grantTokens(now, allowance, rate, req, want, &grant)
	s.grantSlots(now, allowance, rate, req.Node, want, &grant)
	s.grantUnits(now, allowance, want, &grant)
	return grant
}

// refuse answers a slice request that the customer's plan does not allow.
func (s *Shard) refuse(node model.NodeID, grant Grant) Grant {
	grant.Refused = ReasonNoAllowance
	grant.RetryAfterMS = milliseconds(longRetry)
	if rate := s.rates[grant.Account]; rate != nil {
		rate.setSlots(node, 0)
	}
	return grant
}

func (s *Shard) grantTokens(
	now Moment, a plan.Allowance, rate *rateState, req Request, want SliceRequest, grant *Grant,
) {
	ttl := tokenTTL(a)
	rate.bucket.returnTokens(now.At, a, req.Node, want.ReturnedTokens)
	grant.TokenTTLMS = milliseconds(ttl)
	grant.Tokens = rate.bucket.take(now.At, a, req.Node, req.Seq, want.Tokens)
	if grant.Tokens < want.Tokens {
		grant.Refused = ReasonRate
		grant.RetryAfterMS = milliseconds(rate.bucket.retryAfter(a))
	}
}

func (s *Shard) grantSlots(
	now Moment, a plan.Allowance, rate *rateState, node model.NodeID, want SliceRequest, grant *Grant,
) {
	if want.HeldSlots > rate.slots[node] {
		rate.setSlots(node, min(want.HeldSlots, a.InFlight))
	}
	held := rate.slots[node]
	limit := max(a.InFlight, rate.grantedSlots) - rate.grantedSlots + held
	if s.learningSlots(now) {
		limit = held
	}
	rate.setSlots(node, min(want.Slots, limit))
	grant.Slots = rate.slots[node]
	grant.ScarceSlots = rate.grantedSlots >= a.InFlight/scarceSlotDivisor
	if grant.Slots < want.Slots && grant.Slots <= want.HeldSlots {
		grant.Refused = ReasonInFlight
		grant.RetryAfterMS = milliseconds(slotRetry)
	}
}

// learningSlots reports whether agents may still hold slots that an earlier
// owner granted and that this owner has not learned about yet.
func (s *Shard) learningSlots(now Moment) bool {
	return s.fence > firstFence && now.At.Sub(s.started) < learnPeriod
}

func (s *Shard) grantUnits(now Moment, a plan.Allowance, want SliceRequest, grant *Grant) {
	if !s.monthOpen(now, want.Month) {
		grant.Refused = ReasonClock
		grant.RetryAfterMS = milliseconds(longRetry)
		return
	}
	units := s.unit(want.Month, want.Account)
	if units == nil {
		grant.Refused = ReasonBusy
		grant.RetryAfterMS = milliseconds(longRetry)
		return
	}
	grant.Units = s.commitUnits(units, a, want.Units)
	remaining := a.UnitsPerMonth - min(units.committed, a.UnitsPerMonth)
	if remaining < a.UnitsPerMonth/scarceDivisor {
		grant.ScarceUnits = true
	}
	if units.committed > a.UnitsPerMonth || want.Units > 0 && remaining == 0 && grant.Units == 0 {
		grant.Refused = ReasonUnits
		grant.RetryAfterMS = milliseconds(longRetry)
		return
	}
	if want.Units > 0 && grant.Units == 0 {
		grant.Refused = ReasonNoOwner
		grant.RetryAfterMS = milliseconds(ceilingRetry)
	}
}

// commitUnits commits up to want units and returns the number committed.
func (s *Shard) commitUnits(units *unitState, a plan.Allowance, want uint32) uint32 {
	remaining := a.UnitsPerMonth - min(units.committed, a.UnitsPerMonth)
	slice := max(a.UnitsPerMonth/sliceDivisor, uint64(math.Ceil(a.RequestsPerSecond)), 1)
	slice = min(slice, max(remaining/remainderDivisor, 1))
	got := min(uint64(want), slice, units.available(a.UnitsPerMonth))
	if s.closing {
		got = 0
	}
	units.committed += got
	if units.available(a.UnitsPerMonth) < reserve(a)/2 && units.ceiling < a.UnitsPerMonth {
		units.raisePending = true
	}
	return uint32(got)
}

// milliseconds rounds a duration up to whole milliseconds.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
