package ledger

import (
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// maxAccountQuotas is the maximum number of account quotas of an agent, spread
	// equally over the shards.
	maxAccountQuotas = 4096
	// quotaRetention is how long an empty account quota is kept after its last
	// use.
	quotaRetention = time.Minute
	// heartbeatInterval is the time since the last reply after which a session
	// that holds slots or has an unacknowledged report makes an exchange.
	heartbeatInterval = time.Second
	// ownerTimeout is how long exchanges must fail before the agent uses its
	// fallback rate.
	ownerTimeout = 500 * time.Millisecond
	// unitTTL is how long units may be used after the owner's last reply.
	unitTTL = 20 * time.Second
	// maxRetryWait is the longest retry interval for which a request waits
	// instead of being refused.
	maxRetryWait = 250 * time.Millisecond
	// urgentSpacing and quietSpacing are the minimum intervals between two
	// exchanges of a session. The shorter one applies while a local request waits
	// or while this agent holds scarce slots that it does not need.
	urgentSpacing = 20 * time.Millisecond
	quietSpacing  = 50 * time.Millisecond
)

// Permit represents one admitted request.
type Permit struct {
	Account Account
	Month   Month
	token   tokenSlice
}

// Decision is the outcome of an admission check: a permit, unless Wait or Refused is
// set.
type Decision struct {
	// Wait means that the caller must call Retry after the next reply.
	Wait bool
	// Refused is the reason of a refusal, or ReasonNone.
	Refused Reason
	// RetryAfter is how long a refused request should wait before it tries again.
	RetryAfter time.Duration
	// Permit is valid if Wait is not set and Refused is ReasonNone. It must be given
	// back with Release.
	Permit Permit
}

// AgentQuota is the state of all slices held by one agent. It is not safe for
// concurrent use.
type AgentQuota struct {
	node        model.NodeID
	incarnation uint64
	allowances  Allowances
	closing     bool
	sessions    [ShardCount]session
}

// session is the state of the exchanges with the owner of one shard.
type session struct {
	id     ShardID
	quotas map[Account]*accountQuota
	// fence is the fence of the newest owner that replied, and seq the number of
	// the newest request.
	fence Fence
	seq   uint64
	// pending is the request that has no reply yet, or nil. sentAt is when the newest
	// request was first sent.
	pending   *Request
	sentAt    model.Instant
	lastReply model.Instant
	// failing is set while exchanges fail, which they have done since
	// failingSince.
	failing      bool
	failingSince model.Instant
	report       report
}

// NewAgentQuota returns the empty state of an agent. Allowances is the agent's
// own copy of the plans and may be nil; if it is set, a lowered plan takes
// effect even while no owner can be reached.
func NewAgentQuota(node model.NodeID, incarnation uint64, allowances Allowances) *AgentQuota {
	q := &AgentQuota{node: node, incarnation: incarnation, allowances: allowances}
	for id := range q.sessions {
		q.sessions[id] = session{id: ShardID(id), quotas: map[Account]*accountQuota{}}
	}
	return q
}

// Acquire decides whether to admit a new request. If the decision is Wait, the
// caller calls Retry until the decision changes, or CancelWait.
func (q *AgentQuota) Acquire(now Moment, account Account) Decision {
	s := &q.sessions[ShardOf(account.Customer)]
	quota := s.quotas[account]
	if quota == nil && len(s.quotas) >= maxAccountQuotas/ShardCount {
		return Decision{Refused: ReasonBusy, RetryAfter: longRetry}
	}
	if quota == nil {
		quota = newAccountQuota(account)
		s.quotas[account] = quota
	}
	quota.lastUsed = now.At
	decision := q.decide(now, s, quota)
	if decision.Wait && quota.waiting >= maxWaiting {
		return Decision{Refused: ReasonBusy, RetryAfter: maxRetryWait}
	}
	if decision.Wait {
		quota.waiting++
	}
	return decision
}

// Retry repeats the decision about a waiting request.
func (q *AgentQuota) Retry(now Moment, account Account) Decision {
	s := &q.sessions[ShardOf(account.Customer)]
	quota := s.quotas[account]
	quota.waiting--
	decision := q.decide(now, s, quota)
	if decision.Wait {
		quota.waiting++
	}
	return decision
}

// CancelWait removes a waiting request and returns a refusal with the reason
// for the wait.
func (q *AgentQuota) CancelWait(now Moment, account Account) Decision {
	s := &q.sessions[ShardOf(account.Customer)]
	quota := s.quotas[account]
	quota.waiting--
	reason := quota.refused
	if reason == ReasonNone {
		reason = ReasonNoOwner
	}
	return Decision{Refused: reason, RetryAfter: max(quota.retryAt.Sub(now.At), minRetry)}
}

func (q *AgentQuota) decide(now Moment, s *session, quota *accountQuota) Decision {
	quota.advance(now)
	if q.closing {
		return Decision{Refused: ReasonBusy, RetryAfter: longRetry}
	}
	if reason := q.checkPlan(quota); reason != ReasonNone {
		return Decision{Refused: reason, RetryAfter: longRetry}
	}
	unreachable := s.ownerUnreachable(now.At)
	if unreachable && now.At.Sub(s.lastReply) > unitTTL {
		return Decision{Refused: ReasonNoOwner, RetryAfter: longRetry}
	}
	if quota.missingResource() == ReasonNone {
		token, _ := quota.tokens.take()
		return Decision{Permit: quota.admit(now.At, token)}
	}
	if unreachable {
		return decideWithoutOwner(now.At, s.failingSince, quota)
	}
	return waitOrRefuse(now.At, quota)
}

// checkPlan refuses requests according to the agent's own copy of the plans and
// returns units granted under a larger plan.
func (q *AgentQuota) checkPlan(quota *accountQuota) Reason {
	if q.allowances == nil {
		return ReasonNone
	}
	allowance, allowed := q.allowances.Allowance(quota.account.Customer, quota.account.Service)
	if !allowed {
		quota.returnUnits(0)
		return ReasonNoAllowance
	}
	if allowance.UnitsPerMonth < quota.planUnits {
		quota.returnUnits(0)
	}
	return ReasonNone
}

func decideWithoutOwner(now, failingSince model.Instant, quota *accountQuota) Decision {
	if quota.admitWithoutOwner(now, failingSince) {
		return Decision{Permit: quota.admit(now, tokenSlice{})}
	}
	if quota.units == 0 {
		return Decision{Refused: ReasonNoOwner, RetryAfter: longRetry}
	}
	return Decision{Wait: true}
}

func waitOrRefuse(now model.Instant, quota *accountQuota) Decision {
	retryAfter := quota.retryAt.Sub(now)
	if retryAfter <= maxRetryWait {
		return Decision{Wait: true}
	}
	return Decision{Refused: quota.refused, RetryAfter: retryAfter}
}

// Release ends a request. A served request consumes one unit; the unit of any
// other request becomes available again.
func (q *AgentQuota) Release(now Moment, permit Permit, served bool) {
	s := &q.sessions[ShardOf(permit.Account.Customer)]
	quota := s.quotas[permit.Account]
	quota.advance(now)
	quota.inFlight--
	if served {
		quota.usageOf(permit.Month).Served++
		return
	}
	if permit.token.expiresAt > now.At {
		quota.tokens.add(permit.token)
	}
	if permit.Month == quota.month && !q.closing {
		quota.units++
		return
	}
	quota.usageOf(permit.Month).Returned++
}

// NextRequest returns the request to send to the owner of a shard, if one is
// due. The same request is returned until HandleReply accepts a reply to it.
func (q *AgentQuota) NextRequest(now Moment, id ShardID) (Request, bool) {
	s := &q.sessions[id]
	if s.pending != nil {
		s.pending.Fence = s.fence
		return *s.pending, true
	}
	if now.At.Sub(s.sentAt) < s.spacing(now.At) && !q.closing {
		return Request{}, false
	}
	sliceRequests := s.dueSlices(now, q.closing)
	reports := s.reportDue(now.At, q.closing)
	if len(sliceRequests) == 0 && !reports && !s.heartbeatDue(now.At, q.closing) {
		return Request{}, false
	}
	s.seq++
	s.sentAt = now.At
	request := Request{
		Shard: id, Fence: s.fence, Node: q.node, Incarnation: q.incarnation, Seq: s.seq, SliceRequests: sliceRequests,
	}
	s.attachReport(now, &request)
	s.pending = &request
	return request, true
}

// spacing returns the minimum interval between two requests.
func (s *session) spacing(now model.Instant) time.Duration {
	for _, quota := range s.quotas {
		if quota.urgent(now) || quota.holdsScarceSlots() {
			return urgentSpacing
		}
	}
	return quietSpacing
}

// dueSlices returns the slice requests that are due, sorted by account.
func (s *session) dueSlices(now Moment, closing bool) []SliceRequest {
	var due []*accountQuota
	for _, quota := range s.quotas {
		quota.advance(now)
		quota.returnSurplus(now.At)
		if closing {
			quota.returnUnits(0)
		}
		s.dropIdle(now.At, quota)
		unsynced := quota.heldSlots > 0 && quota.syncedFence != s.fence
		if unsynced || quota.due(now.At) {
			due = append(due, quota)
		}
	}
	slices.SortFunc(due, func(a, b *accountQuota) int { return compareAccounts(a.account, b.account) })
	var sliceRequests []SliceRequest
	for _, quota := range due[:min(len(due), MaxSliceRequests)] {
		sliceRequests = append(sliceRequests, quota.sliceRequest(now.At, closing))
	}
	return sliceRequests
}

func (s *session) dropIdle(now model.Instant, quota *accountQuota) {
	empty := quota.units == 0 && quota.heldSlots == 0 && quota.inFlight == 0 && quota.waiting == 0
	if empty && len(quota.usage) == 0 && now.Sub(quota.lastUsed) > quotaRetention {
		delete(s.quotas, quota.account)
	}
}

func (s *session) heartbeatDue(now model.Instant, closing bool) bool {
	if now.Sub(s.lastReply) < heartbeatInterval && !closing {
		return false
	}
	if s.report.number > s.report.acknowledged {
		return true
	}
	for _, quota := range s.quotas {
		if quota.heldSlots > 0 {
			return true
		}
	}
	return false
}

// HandleReply applies the reply to the pending request. It returns false if the
// reply comes from an outdated owner or does not match the pending request.
func (q *AgentQuota) HandleReply(now Moment, id ShardID, reply Reply) bool {
	s := &q.sessions[id]
	if !reply.IsOwner || s.pending == nil || reply.Seq != s.pending.Seq || reply.Fence < s.fence {
		return false
	}
	s.fence = reply.Fence
	s.lastReply = now.At
	s.failing = false
	s.recordDelivery(reply, *s.pending)
	for _, want := range s.pending.SliceRequests {
		if quota := s.quotas[want.Account]; quota != nil {
			quota.syncedFence = reply.Fence
		}
	}
	s.pending = nil
	for _, grant := range reply.Grants {
		s.apply(now, grant)
	}
	return true
}

func (s *session) apply(now Moment, grant Grant) {
	quota := s.quotas[grant.Account]
	if quota == nil {
		quota = newAccountQuota(grant.Account)
		s.quotas[grant.Account] = quota
	}
	quota.advance(now)
	quota.apply(now, s.sentAt, s.seq, grant)
}

// HandleFailure reports that the pending request of a shard did not reach an
// owner.
func (q *AgentQuota) HandleFailure(now Moment, id ShardID) {
	s := &q.sessions[id]
	if !s.failing {
		s.failing = true
		s.failingSince = now.At
	}
}

func (s *session) ownerUnreachable(now model.Instant) bool {
	return s.failing && now.Sub(s.failingSince) >= ownerTimeout
}

// Close stops admitting requests; the following exchanges return all units.
func (q *AgentQuota) Close() { q.closing = true }

// Settled reports whether all units are returned and all reports acknowledged.
func (q *AgentQuota) Settled() bool {
	for i := range q.sessions {
		if !q.sessions[i].settled() {
			return false
		}
	}
	return true
}

func (s *session) settled() bool {
	if s.report.number > s.report.acknowledged {
		return false
	}
	for _, quota := range s.quotas {
		if quota.units > 0 || len(quota.usage) > 0 {
			return false
		}
	}
	return true
}
