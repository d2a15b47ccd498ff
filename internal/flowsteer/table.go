package flowsteer

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// Action is what to do with a packet.
type Action uint8

// The actions.
const (
	// ActionDrop discards the packet; its sender retransmits it if needed.
	ActionDrop Action = iota
	// ActionForward sends the packet to the verdict's agent.
	ActionForward
	// ActionSearch sends a copy of the packet to each agent in the verdict's Agents.
	ActionSearch
	// ActionLookup starts a lookup of the packet's flow at all agents.
	ActionLookup
	// ActionReset sends the client a reset of its flow.
	ActionReset
	actionCount
)

// Reason is why a verdict was reached.
type Reason uint8

// The reasons.
const (
	// ReasonPlaced is used when a new flow has been placed at an agent.
	ReasonPlaced Reason = iota
	// ReasonKnown is used when the flow's agent is known.
	ReasonKnown
	// ReasonRetried is used when another agent is tried after a refusal.
	ReasonRetried
	// ReasonUnknownFlow is used when the flow's agent is not known.
	ReasonUnknownFlow
	// ReasonNoState is used while the operators' configuration is not known.
	ReasonNoState
	// ReasonNoRoute is used when no route exists for the address.
	ReasonNoRoute
	// ReasonUnverifiedRoute is used when no route is known, but the operators' state
	// was verified too long ago for a reset: a newer one may have the route.
	ReasonUnverifiedRoute
	// ReasonNoTarget is used when no target accepts new flows.
	ReasonNoTarget
	// ReasonRefused is used when all agents that were tried have refused the flow.
	ReasonRefused
	// ReasonNoCapacity is used when all targets have as many flows queued as they can
	// take in time.
	ReasonNoCapacity
	// ReasonSearching is used when a search is running and has sent enough copies.
	ReasonSearching
	// ReasonSearchBudget is used when the rate limit for copies is exhausted.
	ReasonSearchBudget
	// ReasonNotFound is used when no agent holds the flow.
	ReasonNotFound
	// ReasonAgentLost is used when the flow's agent is lost.
	ReasonAgentLost
	// ReasonTableFull is used when the table has reached its maximum number of flows.
	ReasonTableFull
	// ReasonEnded is used when nothing is left to do: the packet resets an unknown
	// flow, the answer belongs to no running search, or the returned packet to no known
	// flow.
	ReasonEnded
	// ReasonFound is used when a search has found the flow's agent.
	ReasonFound
	reasonCount
)

// ActionCount and ReasonCount are the numbers of actions and reasons.
const (
	ActionCount = int(actionCount)
	ReasonCount = int(reasonCount)
)

var actionNames = [...]string{"drop", "forward", "search", "ask", "reset"}

// String returns the name that logs and metrics use.
func (a Action) String() string { return actionNames[a] }

var reasonNames = [...]string{"placed", "known", "retried", "unknown_flow", "no_state", "no_route", "unproven_route",
	"no_target", "refused", "no_room", "searching", "search_budget", "not_found", "agent_lost", "table_full", "ended", "found"}

// String returns the name that logs and metrics use.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision on a packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Agent gets the packet with ActionForward.
	Agent netip.Addr
	// Agents get a copy of the packet each with ActionSearch.
	Agents []netip.Addr
	// Sequence is the sequence number of the reset with ActionReset, and Evidence what
	// shows that it is due.
	Sequence uint32
	Evidence Evidence
	// Packet is the held packet that the verdict applies to. It is nil when the
	// verdict applies to the packet that was passed in.
	Packet []byte
}

const (
	// maxAgentsTried is how many agents a new flow is tried at. Each costs a round
	// trip between VMs.
	maxAgentsTried = 4
	// defaultIdleTimeout is how long a flow may be idle while the operators' limit is
	// not known.
	defaultIdleTimeout = 15 * time.Second
	// returnTimeout is how long an agent that runs takes at most to return a packet of a flow
	// that it does not hold. It exceeds the pause of a process whose CPU quota is used up.
	returnTimeout = 300 * time.Millisecond
	// maxVerificationAge is the maximum time since the last verification of the
	// operators' state for which a flow without a route is reset.
	maxVerificationAge = 1500 * time.Millisecond
)

// record is the state of one flow.
type record struct {
	// agent is the agent that gets the flow's packets, or the zero address while it is
	// unknown.
	agent netip.Addr
	// refusedBy are the agents that have refused the new flow.
	refusedBy []netip.Addr
	// clientAck is the client's last acknowledgement number, at which it accepts a
	// reset.
	clientAck uint32
	// lastPacket is when the client's last packet arrived, or when the record was made
	// if none has.
	lastPacket model.Instant
	// fromClient is set when a packet of the client other than an opening one has
	// arrived, so that clientAck is valid.
	fromClient bool
	// opened is set when the client has sent a packet after the opening one, or an
	// agent holds the flow.
	opened bool
	// lastCopy is the number of the last copy of the opening packet, counted from 0.
	lastCopy uint32
	// confirmed is set when the agent certainly holds the flow: it has reported it, or no
	// other one has got the opening packet. Until then, forwardedAt is when the client's
	// first packet after the opening one was forwarded to it.
	confirmed   bool
	forwardedAt model.Instant
	// search is nil while no search for the flow's agent is running.
	search *search
}

// Table holds the flows of one balancer. It is not safe for concurrent use.
type Table struct {
	started model.Instant
	limits  Limits
	view    *View
	// lastActive is when the table was last used, and resumed when it was first used
	// again after a pause.
	lastActive model.Instant
	resumed    model.Instant
	records    map[flow.Key]*record
	// placed counts the new flows placed at each agent since its last heartbeat.
	placed map[netip.Addr]int
	// lookups are the flows for which a lookup is running; heldPackets is the number
	// of packets held until a search ends.
	lookups     map[flow.Key]*record
	heldPackets int
	// unansweredSince is when an agent was first sent a lookup request after its last
	// answer.
	unansweredSince map[netip.Addr]model.Instant
	// copyBudget is the number of copies that may be sent to uncertain agents, as of
	// budgetUpdated.
	copyBudget    float64
	budgetUpdated model.Instant
}

// Limits are the limits of a table.
type Limits struct {
	// MaxFlows is the maximum number of flows in the table.
	MaxFlows int
	// MaxLifetime is the maximum lifetime of a flow.
	MaxLifetime time.Duration
}

// NewTable returns an empty table.
func NewTable(limits Limits, now model.Instant) *Table {
	return &Table{
		started: now,
		limits:  limits,
		view:    &View{},
		records: map[flow.Key]*record{},
		placed:  map[netip.Addr]int{},
		lookups: map[flow.Key]*record{}, unansweredSince: map[netip.Addr]model.Instant{},
		copyBudget: copyBurst, budgetUpdated: now,
	}
}

// SetView replaces the view. The agents in heartbeatsFrom have sent a heartbeat
// since the previous view.
func (t *Table) SetView(view *View, heartbeatsFrom []netip.Addr) {
	t.view = view
	for _, agent := range heartbeatsFrom {
		delete(t.placed, agent)
	}
}

// Size returns the number of flows in the table.
func (t *Table) Size() int { return len(t.records) }

// noteActivity records the time of use and detects pauses of the balancer.
func (t *Table) noteActivity(now model.Instant) {
	if t.lastActive != 0 && now.Sub(t.lastActive) > pauseThreshold {
		t.resumed = now
	}
	t.lastActive = now
}

// ClientPacket decides on a packet from a client.
func (t *Table) ClientPacket(now model.Instant, p flow.Packet) Verdict {
	t.noteActivity(now)
	key := p.KeyFromClient()
	known := t.records[key]
	if p.Opening() {
		return t.openFlow(now, p, key, known)
	}
	if known == nil {
		if p.Flags.Has(flow.Reset) {
			return Verdict{Reason: ReasonEnded}
		}
		if len(t.records) >= t.limits.MaxFlows {
			return Verdict{Reason: ReasonTableFull}
		}
		known = &record{}
		t.records[key] = known
	}
	known.confirmed = known.confirmed || known.openedByFirstCopy(now)
	known.lastPacket, known.fromClient, known.clientAck = now, true, p.Acknowledged
	known.opened = true
	if known.agent.IsValid() {
		loss := t.agentLoss(now, known.agent)
		switch {
		case loss == EvidenceNone:
			if known.forwardedAt == 0 {
				known.forwardedAt = now
			}
			return Verdict{Action: ActionForward, Reason: ReasonKnown, Agent: known.agent}
		case t.heldBy(known):
			return t.abandon(key, known, ReasonAgentLost, loss)
		}
		known.forgetAgent()
	}
	return t.searchFlow(now, key, known, netip.Addr{})
}

// openFlow decides on an opening packet. A retransmission goes to the agent that got the
// first copy, unless the flow is not open yet and that agent is unknown or its
// heartbeats are overdue.
func (t *Table) openFlow(now model.Instant, p flow.Packet, key flow.Key, known *record) Verdict {
	if known != nil {
		known.lastCopy = max(known.lastCopy, p.Acknowledged)
	}
	if known != nil && known.agent.IsValid() {
		agent := t.view.Agents[known.agent]
		if known.opened || (agent != nil && !agent.overdue(now)) {
			known.lastPacket = now
			return Verdict{Action: ActionForward, Reason: ReasonKnown, Agent: known.agent}
		}
		known.refusedBy = append(known.refusedBy, known.agent)
	}
	if known != nil {
		t.endSearch(key, known)
	}
	if t.view.State == nil || t.view.State.Config == nil {
		return Verdict{Reason: ReasonNoState}
	}
	if known == nil {
		if len(t.records) >= t.limits.MaxFlows {
			return Verdict{Reason: ReasonTableFull}
		}
		known = &record{lastCopy: p.Acknowledged}
	}
	known.lastPacket = now
	return t.placeFlow(now, p, key, known, ReasonPlaced)
}

// placeFlow forwards an opening packet to the best agent that has not refused it.
func (t *Table) placeFlow(now model.Instant, p flow.Packet, key flow.Key, known *record, reason Reason) Verdict {
	route := t.view.State.Config.Routes[key.Service]
	if route == nil || len(route.Services) == 0 {
		delete(t.records, key)
		if now.Sub(t.view.VerifiedAt) > maxVerificationAge {
			return Verdict{Reason: ReasonUnverifiedRoute}
		}
		return EvidenceNotOpened.reset(ReasonNoRoute, 0)
	}
	agent := t.place(now, route, key, known.refusedBy)
	if agent == nil {
		delete(t.records, key)
		return t.handleUnplaced(now, p, route)
	}
	t.records[key] = known
	known.agent = agent.VM
	t.placed[agent.VM]++
	return Verdict{Action: ActionForward, Reason: reason, Agent: agent.VM}
}

// handleUnplaced decides on an opening packet that no agent would accept now. While
// targets are expected to accept more flows soon, the client's retransmissions are
// awaited; the last one is answered with a reset, so that the client opens a new flow.
func (t *Table) handleUnplaced(now model.Instant, p flow.Packet, route *routing.Route) Verdict {
	if t.hasOpenTarget(now, route) {
		if !p.LastOpeningCopy() {
			return Verdict{Reason: ReasonNoCapacity}
		}
		return EvidenceNotOpened.reset(ReasonNoCapacity, 0)
	}
	if now.Sub(t.started) < discoveryTime {
		// The agents' first heartbeats, or those of targets to their agents, may not
		// have arrived yet.
		return Verdict{Reason: ReasonNoTarget}
	}
	return EvidenceNotOpened.reset(ReasonNoTarget, 0)
}

// hasOpenTarget reports whether any target of a route accepts new flows at all.
func (t *Table) hasOpenTarget(now model.Instant, route *routing.Route) bool {
	for _, choice := range route.Services {
		for _, agent := range t.view.ByService[choice.Service] {
			if choice.Weight > 0 && agent.acceptsFlows(now, t.view.State) {
				return true
			}
		}
	}
	return false
}

// OpeningRefused decides on an opening packet that an agent refused.
func (t *Table) OpeningRefused(now model.Instant, p flow.Packet, agent netip.Addr, reason targetgate.Reason) Verdict {
	key := p.KeyFromClient()
	known := t.records[key]
	if known == nil {
		known = &record{lastPacket: now, lastCopy: p.Acknowledged}
	}
	if known.opened || (known.agent.IsValid() && known.agent != agent) {
		// Another copy of the packet has opened the flow elsewhere meanwhile.
		return Verdict{Reason: ReasonKnown}
	}
	if p.Acknowledged < known.lastCopy {
		// The agent may accept the later copy.
		return Verdict{Reason: ReasonKnown}
	}
	known.forgetAgent()
	known.refusedBy = append(known.refusedBy, agent)
	if t.view.State == nil || t.view.State.Config == nil {
		return Verdict{Reason: ReasonNoState}
	}
	if len(known.refusedBy) < maxAgentsTried {
		verdict := t.placeFlow(now, p, key, known, ReasonRetried)
		if verdict.Action == ActionForward {
			return verdict
		}
	}
	delete(t.records, key)
	// Unless a reset is due, the packet is dropped, and its retransmission is placed anew.
	switch reason {
	case targetgate.ReasonCold, targetgate.ReasonBusy:
		if !p.LastOpeningCopy() {
			return Verdict{Reason: ReasonNoCapacity}
		}
	case targetgate.ReasonNoState, targetgate.ReasonNoRoute, targetgate.ReasonOtherService, targetgate.ReasonNoTarget:
		return Verdict{Reason: ReasonRefused}
	}
	return EvidenceNotOpened.reset(ReasonRefused, 0)
}

// FlowHeld processes an agent's report that it holds a flow, and decides on the packet
// held during the search, if there is one.
func (t *Table) FlowHeld(now model.Instant, key flow.Key, agent netip.Addr) Verdict {
	delete(t.unansweredSince, agent)
	known := t.records[key]
	if known == nil {
		if len(t.records) >= t.limits.MaxFlows {
			return Verdict{Reason: ReasonTableFull}
		}
		known = &record{lastPacket: now}
		t.records[key] = known
	}
	held := t.endSearch(key, known)
	known.agent, known.opened, known.refusedBy, known.confirmed = agent, true, nil, true
	if held == nil {
		return Verdict{Reason: ReasonKnown}
	}
	return Verdict{Action: ActionForward, Reason: ReasonFound, Agent: agent, Packet: held}
}

// agentLoss returns the evidence that an agent is lost, so that its flows can be reset. Unless
// the agent said that it is gone, this requires that the balancer knows all agents and is
// connected to most of them.
func (t *Table) agentLoss(now model.Instant, vm netip.Addr) Evidence {
	agent := t.view.Agents[vm]
	if agent == nil {
		return EvidenceNone
	}
	loss := agent.loss(now, t.resumed, t.limits.MaxLifetime)
	if loss == EvidenceNone || loss == EvidenceAgentGone || (t.knowsAllAgents(now) && t.view.connected(now)) {
		return loss
	}
	return EvidenceNone
}

// forgetAgent records that the flow's agent is unknown.
func (r *record) forgetAgent() {
	r.agent, r.confirmed, r.forwardedAt = netip.Addr{}, false, 0
}

// openedByFirstCopy reports whether a packet that arrives now shows that the flow has opened at
// the record's agent: its client has not had the time to send a second copy of the opening
// packet.
func (r *record) openedByFirstCopy(now model.Instant) bool {
	return r.agent.IsValid() && !r.fromClient && r.lastCopy == 0 && now.Sub(r.lastPacket) < flow.OpeningCopyInterval
}

// heldBy reports whether the flow's agent is known to have held it. A client may have opened
// the flow at another agent that got another copy of the opening packet, perhaps through another
// balancer. An agent that does not hold a flow returns its packets at once; one that ran for a
// while after it got the first one, and has not, holds it.
func (t *Table) heldBy(known *record) bool {
	agent := t.view.Agents[known.agent]
	return known.confirmed || (agent != nil && known.forwardedAt != 0 && agent.LastHeartbeat.Sub(known.forwardedAt) >= returnTimeout)
}

// abandon removes a flow and returns the reset for its client.
func (t *Table) abandon(key flow.Key, known *record, reason Reason, evidence Evidence) Verdict {
	t.remove(key, known)
	return evidence.reset(reason, known.clientAck)
}

// remove removes a flow and its search.
func (t *Table) remove(key flow.Key, known *record) {
	t.endSearch(key, known)
	delete(t.records, key)
}

// AbandonedFlow is a flow that is reset without waiting for a packet of it.
type AbandonedFlow struct {
	Key     flow.Key
	Verdict Verdict
}

// Expire removes flows that were idle for too long, and returns the flows to reset:
// those whose agent is lost, and those whose search ends because the last agent that
// could hold them is lost. A flow of which only opening packets or none have arrived is
// kept for at most MaxLifetime, or the idle timeout where that is longer. Expire must be
// called several times a second.
func (t *Table) Expire(now model.Instant) []AbandonedFlow {
	t.noteActivity(now)
	idle := defaultIdleTimeout
	if t.view.State != nil && t.view.State.Config != nil && t.view.State.Config.IdleTimeout > 0 {
		idle = t.view.State.Config.IdleTimeout
	}
	lost := map[netip.Addr]Evidence{}
	for vm := range t.view.Agents {
		lost[vm] = t.agentLoss(now, vm)
	}
	var abandoned []AbandonedFlow
	for key, known := range t.records {
		loss := lost[known.agent]
		switch {
		case known.fromClient && now.Sub(known.lastPacket) > idle+copyTimeout,
			now.Sub(known.lastPacket) > max(idle, t.limits.MaxLifetime):
			t.remove(key, known)
		case loss == EvidenceNone || !known.opened:
			// The flow is kept.
		case !t.heldBy(known):
			known.forgetAgent()
		case known.fromClient:
			abandoned = append(abandoned, AbandonedFlow{Key: key, Verdict: t.abandon(key, known, ReasonAgentLost, loss)})
		default:
			t.remove(key, known)
		}
	}
	for key, known := range t.lookups {
		if evidence := t.notFound(now, known.search); evidence != EvidenceNone {
			abandoned = append(abandoned, AbandonedFlow{Key: key, Verdict: t.abandon(key, known, ReasonNotFound, evidence)})
		}
	}
	return abandoned
}
