package ledger

import (
	"math"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

const (
	// aheadFraction is the part of a month's units that a keeper reserves in the
	// platform beyond what it has granted: 1/aheadFraction.
	aheadFraction = 400
	// sliceFraction bounds one slice to 1/sliceFraction of a month's units.
	sliceFraction = 2000
	// lastFraction bounds one slice to 1/lastFraction of the units that remain.
	lastFraction = 4
	// scarceFraction marks units as scarce below 1/scarceFraction of the month.
	scarceFraction = 200
	// scarceSlots marks in-flight slots as scarce from 1/scarceSlots of the plan.
	scarceSlots = 2

	// minRetry and maxPoll bound the time to the next try while a rate is used up.
	minRetry = 100 * time.Millisecond
	maxPoll  = 200 * time.Millisecond

	slotRetry  = 40 * time.Millisecond
	unitsRetry = time.Second
	// ceilingRetry is when to ask again while the platform takes no writes.
	ceilingRetry = 200 * time.Millisecond
)

// ahead returns how many units a keeper reserves beyond what it has granted.
func ahead(a plan.Allowance) uint64 {
	return max(a.UnitsPerMonth/aheadFraction, uint64(math.Ceil(a.RequestsPerSecond)), 1)
}

func (s *Shard) grant(now Moment, terms Terms, req Request, want SliceRequest) Grant {
	grant := Grant{Month: want.Month, Account: want.Account}
	allowance, allowed := terms.Allowances.Allowance(want.Account.Customer, want.Account.Service)
	if !allowed {
		return s.refuse(req.Node, grant)
	}
	rate := s.rate(now, want.Account)
	if rate == nil {
		grant.Refused = ReasonBusy
		grant.RetryAfterMS = milliseconds(unitsRetry)
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

// refuse answers a want that no plan allows.
func (s *Shard) refuse(node model.NodeID, grant Grant) Grant {
	grant.Refused = ReasonNoAllowance
	grant.RetryAfterMS = milliseconds(unitsRetry)
	if rate := s.rates[grant.Account]; rate != nil {
		rate.lease(node, 0)
	}
	return grant
}

func (s *Shard) grantTokens(
	now Moment, a plan.Allowance, rate *rateState, req Request, want SliceRequest, grant *Grant,
) {
	term := tokenTerm(a)
	rate.bucket.putBack(now.At, a, req.Node, want.ReturnedTokens)
	grant.TokenTTLMS = milliseconds(term)
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
		rate.lease(node, min(want.HeldSlots, a.InFlight))
	}
	held := rate.slots[node]
	limit := max(a.InFlight, rate.leased) - rate.leased + held
	if s.learning(now) {
		limit = held
	}
	rate.lease(node, min(want.Slots, limit))
	grant.Slots = rate.slots[node]
	grant.ScarceSlots = rate.leased >= a.InFlight/scarceSlots
	if grant.Slots < want.Slots && grant.Slots <= want.HeldSlots {
		grant.Refused = ReasonInFlight
		grant.RetryAfterMS = milliseconds(slotRetry)
	}
}

// learning reports whether agents may still hold slots of an earlier keeper
// that this one does not know of.
func (s *Shard) learning(now Moment) bool {
	return s.fence > firstFence && now.At.Sub(s.started) < learnTime
}

func (s *Shard) grantUnits(now Moment, a plan.Allowance, want SliceRequest, grant *Grant) {
	if !s.open(now, want.Month) {
		grant.Refused = ReasonClock
		grant.RetryAfterMS = milliseconds(unitsRetry)
		return
	}
	units := s.unit(want.Month, want.Account)
	if units == nil {
		grant.Refused = ReasonBusy
		grant.RetryAfterMS = milliseconds(unitsRetry)
		return
	}
	grant.Units = s.take(units, a, want.Units)
	remaining := a.UnitsPerMonth - min(units.committed, a.UnitsPerMonth)
	if remaining < a.UnitsPerMonth/scarceFraction {
		grant.ScarceUnits = true
	}
	if units.committed > a.UnitsPerMonth || want.Units > 0 && remaining == 0 && grant.Units == 0 {
		grant.Refused = ReasonUnits
		grant.RetryAfterMS = milliseconds(unitsRetry)
		return
	}
	if want.Units > 0 && grant.Units == 0 {
		grant.Refused = ReasonNoOwner
		grant.RetryAfterMS = milliseconds(ceilingRetry)
	}
}

// take commits up to want units and returns how many.
func (s *Shard) take(units *unitState, a plan.Allowance, want uint32) uint32 {
	remaining := a.UnitsPerMonth - min(units.committed, a.UnitsPerMonth)
	slice := max(a.UnitsPerMonth/sliceFraction, uint64(math.Ceil(a.RequestsPerSecond)), 1)
	slice = min(slice, max(remaining/lastFraction, 1))
	got := min(uint64(want), slice, units.free(a.UnitsPerMonth))
	if s.closing {
		got = 0
	}
	units.committed += got
	if units.free(a.UnitsPerMonth) < ahead(a)/2 && units.ceiling < a.UnitsPerMonth {
		units.raise = true
	}
	return uint32(got)
}

func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
