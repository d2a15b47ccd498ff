package ledger

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// unitHorizon is how far ahead an agent asks for units, and scarceHorizon
	// the same when few are left.
	unitHorizon   = 10 * time.Second
	scarceHorizon = 500 * time.Millisecond
	// idleTime is how long an unused holding keeps its units.
	idleTime = 5 * time.Second
	// refillGuard is the time before the tokens run out at which more are asked.
	refillGuard = 50 * time.Millisecond
	// shareBurst is the number of tokens that the share of an agent without a
	// keeper may save up.
	shareBurst = 1
	maxWaiting = 256
)

// holding is what an agent has of one account.
type holding struct {
	account Account
	month   Month
	units   uint64
	// planUnits is the monthly allowance that the units were granted under.
	planUnits uint64
	tokens    tokens
	// tokensBack lists the tokens to give back.
	tokensBack []ReturnedTokens
	term       time.Duration
	held       uint32
	open       uint32
	waiting    uint32
	// scarceUnits and scarceSlots tell that the keeper is short of them.
	scarceUnits bool
	scarceSlots bool

	demand demand
	peak   peak
	used   model.Instant
	// synced is the fence of the keeper that knows the held slots.
	synced Fence

	refused Reason
	retryAt model.Instant

	shareRate float64
	share     bucket

	uses map[Month]*Usage
}

func newHolding(account Account) *holding {
	return &holding{account: account, term: minTerm, uses: map[Month]*Usage{}}
}

func (h *holding) use(month Month) *Usage {
	use := h.uses[month]
	if use == nil {
		use = &Usage{Month: month, Account: h.account}
		h.uses[month] = use
	}
	return use
}

// giveBack returns all but keep units to the keeper.
func (h *holding) giveBack(keep uint64) {
	if h.units > keep {
		h.use(h.month).Returned += h.units - keep
		h.units = keep
	}
}

// advance drops what has expired.
func (h *holding) advance(now Moment) {
	month := MonthOf(now.Wall)
	if month != h.month {
		h.giveBack(0)
		h.month = month
	}
	h.tokensBack = h.tokens.expire(now.At, h.tokensBack)
	h.peak.see(now.At, h.open)
}

// missing returns what the next request lacks, or ReasonNone.
func (h *holding) missing() Reason {
	switch {
	case h.units == 0:
		return ReasonUnits
	case h.open >= h.held:
		return ReasonInFlight
	case h.tokens.count() == 0:
		return ReasonRate
	default:
		return ReasonNone
	}
}

// borrow admits a request by the share of an agent whose keeper is not
// reachable since an instant. It needs a unit and a slot in hand.
func (h *holding) borrow(now, lost model.Instant) bool {
	if h.share.filled < lost {
		h.share.level = 0
		h.share.filled = lost
	}
	h.share.level = min(h.share.level+h.shareRate*now.Sub(h.share.filled).Seconds(), shareBurst)
	h.share.filled = now
	if h.units == 0 || h.open >= h.held {
		return false
	}
	if _, ok := h.tokens.take(); ok {
		return true
	}
	if h.share.level < 1 {
		return false
	}
	h.share.level--
	return true
}

func (h *holding) admit(now model.Instant, token tokenSlice) Permit {
	h.units--
	h.open++
	h.demand.arrive(now)
	h.peak.see(now, h.open)
	return Permit{Account: h.account, Month: h.month, token: token}
}

// horizon returns how far ahead units are asked for.
func (h *holding) horizon() time.Duration {
	if h.scarceUnits {
		return scarceHorizon
	}
	return unitHorizon
}

// tokensWanted returns the number of tokens to ask for.
func (h *holding) tokensWanted(now model.Instant) uint32 {
	target := h.waiting + h.demand.within(now, h.term)
	return target - min(target, h.tokens.count())
}

// tokensShort reports whether the tokens run out soon.
func (h *holding) tokensShort(now model.Instant) bool {
	if h.demand.within(now, h.term) == 0 {
		return false
	}
	return h.tokens.count() <= h.demand.within(now, refillGuard)
}

// unitsWanted returns the number of units to ask for.
func (h *holding) unitsWanted(now model.Instant) uint32 {
	target := uint64(h.waiting + h.demand.within(now, h.horizon()))
	if h.units >= uint64(h.waiting) && h.units > target/2 {
		return 0
	}
	return uint32(target - min(target, h.units))
}

// returnSurplus gives back the units that are not needed.
func (h *holding) returnSurplus(now model.Instant) {
	target := uint64(h.waiting + h.demand.within(now, h.horizon()))
	idle := now.Sub(h.used) > idleTime
	if idle || h.units > 2*target+1 && h.scarceUnits {
		h.giveBack(target)
	}
}

// slotsWanted returns the number of in-flight slots to have.
func (h *holding) slotsWanted() uint32 {
	wanted := h.open + h.waiting
	if h.scarceSlots {
		return wanted
	}
	return max(wanted, h.peak.value)
}

// urgent reports whether a request waits and the keeper may be asked now.
func (h *holding) urgent(now model.Instant) bool { return h.waiting > 0 && now >= h.retryAt }

// hoards reports whether slots are held that others wait for.
func (h *holding) hoards() bool { return h.scarceSlots && h.slotsWanted() < h.held }

// due reports whether the keeper should be told or asked something now.
func (h *holding) due(now model.Instant) bool {
	if h.urgent(now) || len(h.tokensBack) > 0 {
		return true
	}
	if now < h.retryAt {
		return false
	}
	return h.tokensShort(now) || h.slotsWanted() < h.held
}

// want forms the part of the next request that speaks of this holding.
func (h *holding) want(now model.Instant, closing bool) SliceRequest {
	want := SliceRequest{Month: h.month, Account: h.account, ReturnedTokens: h.tokensBack, Slots: h.slotsWanted()}
	if now >= h.retryAt && !closing {
		want.Tokens = h.tokensWanted(now)
		want.Units = h.unitsWanted(now)
	}
	want.HeldSlots = h.held
	h.tokensBack = nil
	h.held = min(h.held, want.Slots)
	return want
}

// apply takes a grant that answers a request first sent at a time.
func (h *holding) apply(now Moment, sent model.Instant, seq uint64, grant Grant) {
	h.take(grant)
	h.term = time.Duration(grant.TokenTTLMS) * time.Millisecond
	h.tokens.add(tokenSlice{count: grant.Tokens, until: sent.Add(h.term), seq: seq})
	h.held = grant.Slots
	h.scarceUnits = grant.ScarceUnits
	h.scarceSlots = grant.ScarceSlots
	h.shareRate = float64(grant.FallbackRate)
	h.refused = grant.Refused
	h.retryAt = 0
	if h.blockedBy(grant.Refused) {
		h.retryAt = now.At.Add(time.Duration(grant.RetryAfterMS) * time.Millisecond)
	}
}

// blockedBy reports whether the keeper is not to be asked for a while after it
// has refused.
func (h *holding) blockedBy(refused Reason) bool {
	switch refused {
	case ReasonNone:
		return false
	case ReasonUnits, ReasonNoOwner, ReasonClock:
		return h.units == 0
	case ReasonInFlight:
		return h.open >= h.held
	default:
		return true
	}
}

// take adds granted units. Units of a plan that was lowered below what is
// granted are given back.
func (h *holding) take(grant Grant) {
	if grant.Month != h.month {
		h.use(grant.Month).Returned += uint64(grant.Units)
		return
	}
	h.units += uint64(grant.Units)
	lowered := grant.Refused == ReasonUnits && grant.PlanUnits < h.planUnits
	if lowered || grant.Refused == ReasonNoAllowance {
		h.giveBack(0)
	}
	h.planUnits = grant.PlanUnits
}
