package ledger

import (
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	maxHoldings = 4096
	// holdingIdle is how long an empty holding is remembered.
	holdingIdle = time.Minute
	// heartbeat is how often a session that holds slots speaks to its keeper.
	heartbeat = time.Second
	// keeperLost is how long a keeper must be silent before the agent uses its
	// fixed share.
	keeperLost = 500 * time.Millisecond
	// unitTerm is how long units may be used after the keeper last answered.
	unitTerm = 20 * time.Second
	// quickRetry is the longest time to the next try that a request waits for.
	quickRetry = 250 * time.Millisecond
	// urgentSpacing and quietSpacing are the least times between two requests
	// of a session, with and without a request or a peer that waits for it.
	urgentSpacing = 20 * time.Millisecond
	quietSpacing  = 50 * time.Millisecond
)

// Permit stands for one admitted request.
type Permit struct {
	Account Account
	Month   Month
	token   tokenSlice
}

// Decision tells what becomes of a request.
type Decision struct {
	// Wait tells to ask again with Retry after the next reply.
	Wait bool
	// Refused is the reason of a refusal, or ReasonNone.
	Refused    Reason
	RetryAfter time.Duration
	Permit     Permit
}

// AgentQuota is the state of all slices at one agent.
type AgentQuota struct {
	node        model.NodeID
	incarnation uint64
	allowances  Allowances
	closing     bool
	sessions    [ShardCount]session
}

// session is the exchange with the keeper of one shard.
type session struct {
	id       ShardID
	holdings map[Account]*holding
	fence    Fence
	seq      uint64
	// current is the request without a reply yet.
	current *Request
	sent    model.Instant
	answer  model.Instant
	failing bool
	failed  model.Instant
	report  report
}

// NewAgentQuota makes the state of an agent. Allowances may be nil; with it, a
// lowered plan is in force even while no keeper can be reached.
func NewAgentQuota(node model.NodeID, incarnation uint64, allowances Allowances) *AgentQuota {
	h := &AgentQuota{node: node, incarnation: incarnation, allowances: allowances}
	for id := range h.sessions {
		h.sessions[id] = session{id: ShardID(id), holdings: map[Account]*holding{}}
	}
	return h
}

// Acquire decides about a new request. After Wait the caller calls Retry until
// the decision is another one, or Leave.
func (h *AgentQuota) Acquire(now Moment, account Account) Decision {
	s := &h.sessions[ShardOf(account.Customer)]
	holding := s.holdings[account]
	if holding == nil && len(s.holdings) >= maxHoldings/ShardCount {
		return Decision{Refused: ReasonBusy, RetryAfter: unitsRetry}
	}
	if holding == nil {
		holding = newHolding(account)
		s.holdings[account] = holding
	}
	holding.used = now.At
	decision := h.decide(now, s, holding)
	if decision.Wait && holding.waiting >= maxWaiting {
		return Decision{Refused: ReasonBusy, RetryAfter: quickRetry}
	}
	if decision.Wait {
		holding.waiting++
	}
	return decision
}

// Retry decides again about a request that waits.
func (h *AgentQuota) Retry(now Moment, account Account) Decision {
	s := &h.sessions[ShardOf(account.Customer)]
	holding := s.holdings[account]
	holding.waiting--
	decision := h.decide(now, s, holding)
	if decision.Wait {
		holding.waiting++
	}
	return decision
}

// CancelWait ends the wait of a request and returns why it had to wait.
func (h *AgentQuota) CancelWait(now Moment, account Account) Decision {
	s := &h.sessions[ShardOf(account.Customer)]
	holding := s.holdings[account]
	holding.waiting--
	reason := holding.refused
	if reason == ReasonNone {
		reason = ReasonNoOwner
	}
	return Decision{Refused: reason, RetryAfter: max(holding.retryAt.Sub(now.At), minRetry)}
}

func (h *AgentQuota) decide(now Moment, s *session, holding *holding) Decision {
	holding.advance(now)
	if h.closing {
		return Decision{Refused: ReasonBusy, RetryAfter: unitsRetry}
	}
	if reason := h.checkPlan(holding); reason != ReasonNone {
		return Decision{Refused: reason, RetryAfter: unitsRetry}
	}
	lost := s.lost(now.At)
	if lost && now.At.Sub(s.answer) > unitTerm {
		return Decision{Refused: ReasonNoOwner, RetryAfter: unitsRetry}
	}
	if holding.missing() == ReasonNone {
		token, _ := holding.tokens.take()
		return Decision{Permit: holding.admit(now.At, token)}
	}
	if lost {
		return lostDecision(now.At, s.failed, holding)
	}
	return waitDecision(now.At, holding)
}

// checkPlan refuses by the agent's own copy of the operators' documents.
func (h *AgentQuota) checkPlan(holding *holding) Reason {
	if h.allowances == nil {
		return ReasonNone
	}
	allowance, allowed := h.allowances.Allowance(holding.account.Customer, holding.account.Service)
	if !allowed {
		holding.giveBack(0)
		return ReasonNoAllowance
	}
	if allowance.UnitsPerMonth < holding.planUnits {
		holding.giveBack(0)
	}
	return ReasonNone
}

func lostDecision(now, lost model.Instant, holding *holding) Decision {
	if holding.borrow(now, lost) {
		return Decision{Permit: holding.admit(now, tokenSlice{})}
	}
	if holding.units == 0 {
		return Decision{Refused: ReasonNoOwner, RetryAfter: unitsRetry}
	}
	return Decision{Wait: true}
}

func waitDecision(now model.Instant, holding *holding) Decision {
	retryAfter := holding.retryAt.Sub(now)
	if retryAfter <= quickRetry {
		return Decision{Wait: true}
	}
	return Decision{Refused: holding.refused, RetryAfter: retryAfter}
}

// Release ends a request. A served one counts as one unit; the unit of any
// other one may be used again.
func (h *AgentQuota) Release(now Moment, permit Permit, served bool) {
	s := &h.sessions[ShardOf(permit.Account.Customer)]
	holding := s.holdings[permit.Account]
	holding.advance(now)
	holding.open--
	if served {
		holding.use(permit.Month).Served++
		return
	}
	if permit.token.until > now.At {
		holding.tokens.add(permit.token)
	}
	if permit.Month == holding.month && !h.closing {
		holding.units++
		return
	}
	holding.use(permit.Month).Returned++
}

// NextRequest returns the request to send to the keeper of a shard now, if any. A
// request is sent again until it is answered.
func (h *AgentQuota) NextRequest(now Moment, id ShardID) (Request, bool) {
	s := &h.sessions[id]
	if s.current != nil {
		s.current.Fence = s.fence
		return *s.current, true
	}
	if now.At.Sub(s.sent) < s.spacing(now.At) && !h.closing {
		return Request{}, false
	}
	wants := s.wants(now, h.closing)
	reports := s.reportDue(now.At, h.closing)
	if len(wants) == 0 && !reports && !s.heartbeatDue(now.At, h.closing) {
		return Request{}, false
	}
	s.seq++
	s.sent = now.At
	request := Request{
		Shard: id, Fence: s.fence, Node: h.node, Incarnation: h.incarnation, Seq: s.seq, SliceRequests: wants,
	}
	s.attachReport(now, &request)
	s.current = &request
	return request, true
}

// spacing returns the least time between two requests.
func (s *session) spacing(now model.Instant) time.Duration {
	for _, holding := range s.holdings {
		if holding.urgent(now) || holding.hoards() {
			return urgentSpacing
		}
	}
	return quietSpacing
}

func (s *session) wants(now Moment, closing bool) []SliceRequest {
	var due []*holding
	for _, holding := range s.holdings {
		holding.advance(now)
		holding.returnSurplus(now.At)
		if closing {
			holding.giveBack(0)
		}
		s.forgetIdle(now.At, holding)
		unsynced := holding.held > 0 && holding.synced != s.fence
		if unsynced || holding.due(now.At) {
			due = append(due, holding)
		}
	}
	slices.SortFunc(due, func(a, b *holding) int { return compareAccounts(a.account, b.account) })
	var wants []SliceRequest
	for _, holding := range due[:min(len(due), MaxSliceRequests)] {
		wants = append(wants, holding.want(now.At, closing))
	}
	return wants
}

func (s *session) forgetIdle(now model.Instant, holding *holding) {
	empty := holding.units == 0 && holding.held == 0 && holding.open == 0 && holding.waiting == 0
	if empty && len(holding.uses) == 0 && now.Sub(holding.used) > holdingIdle {
		delete(s.holdings, holding.account)
	}
}

func (s *session) heartbeatDue(now model.Instant, closing bool) bool {
	if now.Sub(s.answer) < heartbeat && !closing {
		return false
	}
	if s.report.number > s.report.acknowledged {
		return true
	}
	for _, holding := range s.holdings {
		if holding.held > 0 {
			return true
		}
	}
	return false
}

// HandleReply takes the answer to the current request. It returns false when the
// answer is not from the newest keeper known or not to the current request.
func (h *AgentQuota) HandleReply(now Moment, id ShardID, reply Reply) bool {
	s := &h.sessions[id]
	if !reply.IsOwner || s.current == nil || reply.Seq != s.current.Seq || reply.Fence < s.fence {
		return false
	}
	s.fence = reply.Fence
	s.answer = now.At
	s.failing = false
	s.noteReport(reply, *s.current)
	for _, want := range s.current.SliceRequests {
		if holding := s.holdings[want.Account]; holding != nil {
			holding.synced = reply.Fence
		}
	}
	s.current = nil
	for _, grant := range reply.Grants {
		s.apply(now, grant)
	}
	return true
}

func (s *session) apply(now Moment, grant Grant) {
	holding := s.holdings[grant.Account]
	if holding == nil {
		holding = newHolding(grant.Account)
		s.holdings[grant.Account] = holding
	}
	holding.advance(now)
	holding.apply(now, s.sent, s.seq, grant)
}

// HandleFailure tells that the current request of a shard found no keeper.
func (h *AgentQuota) HandleFailure(now Moment, id ShardID) {
	s := &h.sessions[id]
	if !s.failing {
		s.failing = true
		s.failed = now.At
	}
}

func (s *session) lost(now model.Instant) bool {
	return s.failing && now.Sub(s.failed) >= keeperLost
}

// Close gives all units back with the next requests.
func (h *AgentQuota) Close() { h.closing = true }

// Settled reports whether nothing is left to give back or to report.
func (h *AgentQuota) Settled() bool {
	for i := range h.sessions {
		if !h.sessions[i].settled() {
			return false
		}
	}
	return true
}

func (s *session) settled() bool {
	if s.report.number > s.report.acknowledged {
		return false
	}
	for _, holding := range s.holdings {
		if holding.units > 0 || len(holding.uses) > 0 {
			return false
		}
	}
	return true
}
