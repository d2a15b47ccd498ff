package ledger

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// unitLookahead is the period of expected demand for which an agent requests
	// units. While units are scarce, scarceUnitLookahead applies.
	unitLookahead       = 10 * time.Second
	scarceUnitLookahead = 500 * time.Millisecond
	// unitIdleTime is how long an unused account quota keeps its units.
	unitIdleTime = 5 * time.Second
	// tokenRefillLead is how long before the expected exhaustion of the tokens
	// new ones are requested.
	tokenRefillLead = 50 * time.Millisecond
	// fallbackBurst is the maximum number of tokens that accumulate at the
	// fallback rate.
	fallbackBurst = 1
	// maxWaiting is the maximum number of requests of one account that wait.
	maxWaiting = 256
)

// accountQuota is what an agent holds of one account's allowance.
type accountQuota struct {
	account Account
	month   Month
	units   uint64
	// planUnits is the monthly allowance under which the units were granted.
	planUnits uint64
	tokens    tokens
	// returnedTokens lists the expired tokens to return with the next request.
	returnedTokens []ReturnedTokens
	tokenTTL       time.Duration
	heldSlots      uint32
	inFlight       uint32
	waiting        uint32
	// scarceUnits and scarceSlots are set while the owner is short of them.
	scarceUnits bool
	scarceSlots bool

	// demand estimates the rate of the admitted requests, and peak tracks the largest
	// recent inFlight.
	demand   demand
	peak     peak
	lastUsed model.Instant
	// syncedFence is the fence of the last owner that replied to a slice request of
	// this account, and so knows the held slots.
	syncedFence Fence

	// refused is the reason of the newest grant for giving less than was requested,
	// and retryAt the instant before which no more tokens or units are requested.
	refused Reason
	retryAt model.Instant

	// fallbackRate is in requests per second; its tokens accumulate in fallback.
	fallbackRate float64
	fallback     bucket

	// usage holds the served and returned units that no report contains yet.
	usage map[Month]*Usage
}

func newAccountQuota(account Account) *accountQuota {
	return &accountQuota{account: account, tokenTTL: minTokenTTL, usage: map[Month]*Usage{}}
}

func (q *accountQuota) usageOf(month Month) *Usage {
	use := q.usage[month]
	if use == nil {
		use = &Usage{Month: month, Account: q.account}
		q.usage[month] = use
	}
	return use
}

// returnUnits schedules the return of all but keep units to the owner.
func (q *accountQuota) returnUnits(keep uint64) {
	if q.units > keep {
		q.usageOf(q.month).Returned += q.units - keep
		q.units = keep
	}
}

// advance returns the units of a past month, removes expired tokens and updates
// the peak.
func (q *accountQuota) advance(now Moment) {
	month := MonthOf(now.Wall)
	if month != q.month {
		q.returnUnits(0)
		q.month = month
	}
	q.returnedTokens = q.tokens.expire(now.At, q.returnedTokens)
	q.peak.observe(now.At, q.inFlight)
}

// missingResource returns which resource the next request lacks, or ReasonNone.
func (q *accountQuota) missingResource() Reason {
	switch {
	case q.units == 0:
		return ReasonUnits
	case q.inFlight >= q.heldSlots:
		return ReasonInFlight
	case q.tokens.count() == 0:
		return ReasonRate
	default:
		return ReasonNone
	}
}

// admitWithoutOwner decides whether to admit a request while the owner is
// unreachable, as it has been since failingSince. The request needs a held
// unit, a held slot, and either a held token or one from the fallback rate.
func (q *accountQuota) admitWithoutOwner(now, failingSince model.Instant) bool {
	if q.fallback.refilledAt < failingSince {
		q.fallback.level = 0
		q.fallback.refilledAt = failingSince
	}
	q.fallback.level = min(q.fallback.level+q.fallbackRate*now.Sub(q.fallback.refilledAt).Seconds(), fallbackBurst)
	q.fallback.refilledAt = now
	if q.units == 0 || q.inFlight >= q.heldSlots {
		return false
	}
	if _, ok := q.tokens.take(); ok {
		return true
	}
	if q.fallback.level < 1 {
		return false
	}
	q.fallback.level--
	return true
}

// admit uses one unit and one slot for a request and returns its permit.
func (q *accountQuota) admit(now model.Instant, token tokenSlice) Permit {
	q.units--
	q.inFlight++
	q.demand.record(now)
	q.peak.observe(now, q.inFlight)
	return Permit{Account: q.account, Month: q.month, token: token}
}

// lookahead returns the period of expected demand for which units are
// requested.
func (q *accountQuota) lookahead() time.Duration {
	if q.scarceUnits {
		return scarceUnitLookahead
	}
	return unitLookahead
}

// tokensWanted returns the number of tokens to request.
func (q *accountQuota) tokensWanted(now model.Instant) uint32 {
	needed := q.waiting + q.demand.expected(now, q.tokenTTL)
	return needed - min(needed, q.tokens.count())
}

// tokensShort reports whether the tokens are expected to run out within
// tokenRefillLead.
func (q *accountQuota) tokensShort(now model.Instant) bool {
	if q.demand.expected(now, q.tokenTTL) == 0 {
		return false
	}
	return q.tokens.count() <= q.demand.expected(now, tokenRefillLead)
}

// unitsWanted returns the number of units to request: none while the held units
// cover the waiting requests and more than half of the expected need.
func (q *accountQuota) unitsWanted(now model.Instant) uint32 {
	needed := uint64(q.waiting + q.demand.expected(now, q.lookahead()))
	if q.units >= uint64(q.waiting) && q.units > needed/2 {
		return 0
	}
	return uint32(needed - min(needed, q.units))
}

// returnSurplus returns the units beyond the expected demand if the quota is idle,
// or if units are scarce and it holds more than twice the expected demand.
func (q *accountQuota) returnSurplus(now model.Instant) {
	needed := uint64(q.waiting + q.demand.expected(now, q.lookahead()))
	idle := now.Sub(q.lastUsed) > unitIdleTime
	if idle || q.units > 2*needed+1 && q.scarceUnits {
		q.returnUnits(needed)
	}
}

// slotsWanted returns the number of in-flight slots to hold.
func (q *accountQuota) slotsWanted() uint32 {
	wanted := q.inFlight + q.waiting
	if q.scarceSlots {
		return wanted
	}
	return max(wanted, q.peak.value)
}

// urgent reports whether a request waits and the owner may be asked now.
func (q *accountQuota) urgent(now model.Instant) bool { return q.waiting > 0 && now >= q.retryAt }

// holdsScarceSlots reports whether the agent holds unneeded slots while they
// are scarce.
func (q *accountQuota) holdsScarceSlots() bool { return q.scarceSlots && q.slotsWanted() < q.heldSlots }

// due reports whether an exchange with the owner is due for this account.
func (q *accountQuota) due(now model.Instant) bool {
	if q.urgent(now) || len(q.returnedTokens) > 0 {
		return true
	}
	if now < q.retryAt {
		return false
	}
	return q.tokensShort(now) || q.slotsWanted() < q.heldSlots
}

// sliceRequest returns the part of the next request for this account. The
// tokens to return and the surplus slots are considered released from then on.
func (q *accountQuota) sliceRequest(now model.Instant, closing bool) SliceRequest {
	want := SliceRequest{Month: q.month, Account: q.account, ReturnedTokens: q.returnedTokens, Slots: q.slotsWanted()}
	if now >= q.retryAt && !closing {
		want.Tokens = q.tokensWanted(now)
		want.Units = q.unitsWanted(now)
	}
	want.HeldSlots = q.heldSlots
	q.returnedTokens = nil
	q.heldSlots = min(q.heldSlots, want.Slots)
	return want
}

// apply adds a grant. The request that it answers has the number seq and was
// first sent at the instant sent.
func (q *accountQuota) apply(now Moment, sent model.Instant, seq uint64, grant Grant) {
	q.addUnits(grant)
	q.tokenTTL = time.Duration(grant.TokenTTLMS) * time.Millisecond
	q.tokens.add(tokenSlice{count: grant.Tokens, expiresAt: sent.Add(q.tokenTTL), seq: seq})
	q.heldSlots = grant.Slots
	q.scarceUnits = grant.ScarceUnits
	q.scarceSlots = grant.ScarceSlots
	q.fallbackRate = float64(grant.FallbackRate)
	q.refused = grant.Refused
	q.retryAt = 0
	if q.blockedBy(grant.Refused) {
		q.retryAt = now.At.Add(time.Duration(grant.RetryAfterMS) * time.Millisecond)
	}
}

// blockedBy reports whether to pause requests for this account after a refusal.
func (q *accountQuota) blockedBy(refused Reason) bool {
	switch refused {
	case ReasonNone:
		return false
	case ReasonUnits, ReasonNoOwner, ReasonClock:
		return q.units == 0
	case ReasonInFlight:
		return q.inFlight >= q.heldSlots
	default:
		return true
	}
}

// addUnits adds the granted units. If the plan was lowered below the units
// already granted, all units are returned.
func (q *accountQuota) addUnits(grant Grant) {
	if grant.Month != q.month {
		q.usageOf(grant.Month).Returned += uint64(grant.Units)
		return
	}
	q.units += uint64(grant.Units)
	lowered := grant.Refused == ReasonUnits && grant.PlanUnits < q.planUnits
	if lowered || grant.Refused == ReasonNoAllowance {
		q.returnUnits(0)
	}
	q.planUnits = grant.PlanUnits
}
