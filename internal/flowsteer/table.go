package flowsteer

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/door"
	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

// Action tells what becomes of a packet.
type Action uint8

// The actions.
const (
	// ActionDrop discards the packet; its sender repeats it if it matters.
	ActionDrop Action = iota
	// ActionForward sends the packet to the verdict's agent.
	ActionForward
	// ActionSearch sends a copy of the packet to each of the verdict's agents.
	ActionSearch
	// ActionReset tells the client that its flow is given up.
	ActionReset
	actionCount
)

// Reason tells why a verdict was reached.
type Reason uint8

// The reasons.
const (
	ReasonPlaced Reason = iota
	// ReasonKnown tells that the flow's agent is known.
	ReasonKnown
	// ReasonRetried tells that another agent is tried after a refusal.
	ReasonRetried
	// ReasonUnknownFlow tells that the flow's agent is not known.
	ReasonUnknownFlow
	// ReasonNoState tells that the operators' state is not known yet.
	ReasonNoState
	// ReasonNoRoute tells that no route leads to the address.
	ReasonNoRoute
	// ReasonUnprovenRoute tells that no route is known, and that the knowledge is
	// too old to say that there is none.
	ReasonUnprovenRoute
	// ReasonNoTarget tells that no target takes new flows.
	ReasonNoTarget
	// ReasonRefused tells that all agents that were tried refused the flow.
	ReasonRefused
	// ReasonNoRoom tells that all targets have as many flows waiting as they can
	// take in time.
	ReasonNoRoom
	// ReasonSearching tells that the search is on and has had enough copies.
	ReasonSearching
	// ReasonSearchBudget tells that too many copies were sent lately.
	ReasonSearchBudget
	// ReasonNotFound tells that no agent holds the flow.
	ReasonNotFound
	// ReasonAgentLost tells that the flow's agent is lost.
	ReasonAgentLost
	// ReasonTableFull tells that the table holds all the flows that it can.
	ReasonTableFull
	// ReasonEnded tells that the packet closes a flow that is not known.
	ReasonEnded
	reasonCount
)

// ActionCount and ReasonCount are the numbers of actions and reasons.
const (
	ActionCount = int(actionCount)
	ReasonCount = int(reasonCount)
)

var actionNames = [...]string{"drop", "forward", "search", "reset"}

// String returns the name that logs and metrics use.
func (a Action) String() string { return actionNames[a] }

var reasonNames = [...]string{"placed", "known", "retried", "unknown_flow", "no_state", "no_route", "unproven_route",
	"no_target", "refused", "no_room", "searching", "search_budget", "not_found", "agent_lost", "table_full", "ended"}

// String returns the name that logs and metrics use.
func (r Reason) String() string { return reasonNames[r] }

// Verdict tells what becomes of a packet.
type Verdict struct {
	Action Action
	Reason Reason
	Agent  netip.Addr
	// Agents are those that a search asks.
	Agents []netip.Addr
	// Sequence goes into a reset.
	Sequence uint32
}

const (
	// maxTries is how many agents a new flow is offered to. Each costs a round
	// trip between VMs.
	maxTries = 4
	// maxCopies is how many packets of a flow are sent to the agents of one round
	// of a search.
	maxCopies = 3
	// roundTime is how long the answers to one round may take. It is the client's
	// first retransmission timeout.
	roundTime = 200 * time.Millisecond
	// searchTime is how long the answers count. A target does not come to hold an
	// open flow later on.
	searchTime = 3 * time.Second
	// copyRate and copyBurst bound the copies that go to all agents, in copies a
	// second and at once. A copy costs about 5 us: the rate is a third of the
	// processor of the smallest entry VM, 0.06 cores.
	copyRate  = 4000
	copyBurst = 4000
	// lastCopy is the number of the last copy of an opening packet.
	lastCopy = 2
	// idleFallback is how long a flow may rest while the operators' limit is not
	// known.
	idleFallback = 15 * time.Second
	// provenTime is how young the proof of the operators' state must be for a
	// reset of a flow without a route.
	provenTime = 1500 * time.Millisecond
)

// record is one flow.
type record struct {
	agent netip.Addr
	// tried are the agents that have refused the new flow.
	tried     []netip.Addr
	clientAck uint32
	// seen is when the client's last packet came.
	seen model.Instant
	// heard tells that the record comes from the client's packets, so that
	// clientAck is valid.
	heard  bool
	opened bool
	search *search
}

// search is the state of a search for a flow's agent. The first round asks the
// agents at which the flow most likely is, further ones all that have not denied
// it.
type search struct {
	since model.Instant
	round model.Instant
	// wide tells that the present round asks all agents.
	wide   bool
	copies int
	asked  []netip.Addr
	// denied are the agents that do not hold the flow.
	denied map[netip.Addr]bool
}

// Table is the flows of one balancer. It is not safe for concurrent use.
type Table struct {
	started model.Instant
	limits  Limits
	view    *View
	records map[flow.Key]*record
	// placed counts the new flows of each agent since its last report.
	placed map[netip.Addr]int
	// credit is the number of copies that may go to all agents, as of credited.
	credit   float64
	credited model.Instant
}

// Limits bound a table.
type Limits struct {
	// Flows is the number of flows that the table holds.
	Flows int
	// Lifetime is the longest life of a flow.
	Lifetime time.Duration
}

// NewTable makes an empty table.
func NewTable(limits Limits, now model.Instant) *Table {
	return &Table{
		started: now,
		limits:  limits,
		view:    &View{},
		records: map[flow.Key]*record{},
		placed:  map[netip.Addr]int{},
		credit:  copyBurst, credited: now,
	}
}

// SetView replaces the view. Reported tells which agents have reported since the
// last one.
func (t *Table) SetView(view *View, reported []netip.Addr) {
	t.view = view
	for _, agent := range reported {
		delete(t.placed, agent)
	}
}

// Size returns the number of flows in the table.
func (t *Table) Size() int { return len(t.records) }

// Client decides on a packet from a client.
func (t *Table) Client(now model.Instant, p flow.Packet) Verdict {
	key := p.FromClient()
	known := t.records[key]
	if p.Opening() {
		return t.open(now, p, key, known)
	}
	if known == nil {
		if p.Flags.Has(flow.Reset) {
			return Verdict{Reason: ReasonEnded}
		}
		if len(t.records) >= t.limits.Flows {
			return Verdict{Reason: ReasonTableFull}
		}
		known = &record{}
		t.records[key] = known
	}
	known.seen, known.heard, known.clientAck = now, true, p.Acknowledged
	known.opened = true
	if known.agent.IsValid() {
		if t.agentLost(now, known.agent) {
			return t.giveUp(key, known, ReasonAgentLost)
		}
		return Verdict{Action: ActionForward, Reason: ReasonKnown, Agent: known.agent}
	}
	return t.find(now, key, known, netip.Addr{})
}

func (t *Table) open(now model.Instant, p flow.Packet, key flow.Key, known *record) Verdict {
	if known != nil && known.agent.IsValid() {
		agent := t.view.Agents[known.agent]
		if known.opened || (agent != nil && !agent.silent(now)) {
			known.seen = now
			return Verdict{Action: ActionForward, Reason: ReasonKnown, Agent: known.agent}
		}
		known.tried = append(known.tried, known.agent)
	}
	if t.view.State == nil || t.view.State.Config == nil {
		return Verdict{Reason: ReasonNoState}
	}
	if known == nil {
		if len(t.records) >= t.limits.Flows {
			return Verdict{Reason: ReasonTableFull}
		}
		known = &record{}
	}
	known.seen = now
	return t.offer(now, p, key, known, ReasonPlaced)
}

// offer sends an opening packet to the best agent that has not refused it.
func (t *Table) offer(now model.Instant, p flow.Packet, key flow.Key, known *record, why Reason) Verdict {
	route := t.view.State.Config.Routes[key.Service]
	if route == nil || len(route.Choices) == 0 {
		delete(t.records, key)
		if now.Sub(t.view.Proven) > provenTime {
			return Verdict{Reason: ReasonUnprovenRoute}
		}
		return Verdict{Action: ActionReset, Reason: ReasonNoRoute}
	}
	agent := t.place(now, route, key, known.tried)
	if agent == nil {
		delete(t.records, key)
		return t.unplaced(now, p, route)
	}
	t.records[key] = known
	known.agent = agent.VM
	t.placed[agent.VM]++
	return Verdict{Action: ActionForward, Reason: why, Agent: agent.VM}
}

// unplaced decides on an opening packet that no agent would take now. While
// targets are expected to take more soon, the client's next copy is waited for;
// after the last one it is told to try anew.
func (t *Table) unplaced(now model.Instant, p flow.Packet, route *routing.Route) Verdict {
	if t.serving(now, route) {
		if p.Acknowledged < lastCopy {
			return Verdict{Reason: ReasonNoRoom}
		}
		return Verdict{Action: ActionReset, Reason: ReasonNoRoom}
	}
	if now.Sub(t.started) < unsettledTime {
		// The first reports of agents and heartbeats of targets are on their way.
		return Verdict{Reason: ReasonNoTarget}
	}
	return Verdict{Action: ActionReset, Reason: ReasonNoTarget}
}

// serving reports whether any target of a route takes new flows at all.
func (t *Table) serving(now model.Instant, route *routing.Route) bool {
	for _, choice := range route.Choices {
		for _, agent := range t.view.ByService[choice.Service] {
			if choice.Weight > 0 && agent.takes(now, t.view.State) {
				return true
			}
		}
	}
	return false
}

// Refused decides on an opening packet that an agent returned.
func (t *Table) Refused(now model.Instant, p flow.Packet, agent netip.Addr, why door.Reason) Verdict {
	key := p.FromClient()
	known := t.records[key]
	if known == nil {
		known = &record{seen: now}
	}
	if known.opened || (known.agent.IsValid() && known.agent != agent) {
		// Another copy of the packet has opened the flow elsewhere meanwhile.
		return Verdict{Reason: ReasonKnown}
	}
	known.agent = netip.Addr{}
	known.tried = append(known.tried, agent)
	if t.view.State == nil || t.view.State.Config == nil {
		return Verdict{Reason: ReasonNoState}
	}
	if len(known.tried) < maxTries {
		verdict := t.offer(now, p, key, known, ReasonRetried)
		if verdict.Action == ActionForward {
			return verdict
		}
	}
	delete(t.records, key)
	switch why {
	case door.ReasonCold, door.ReasonBusy:
		if p.Acknowledged < lastCopy {
			return Verdict{Reason: ReasonNoRoom}
		}
	case door.ReasonNoState, door.ReasonNoRoute, door.ReasonOtherService, door.ReasonNoTarget:
		return Verdict{Reason: ReasonRefused}
	}
	return Verdict{Action: ActionReset, Reason: ReasonRefused}
}

// find searches for the agent of a flow with a packet at hand. An agent that has
// just denied the flow is named.
func (t *Table) find(now model.Instant, key flow.Key, known *record, denying netip.Addr) Verdict {
	s := known.search
	if s == nil || now.Sub(s.since) >= searchTime {
		s = &search{since: now, round: now, asked: t.likely(key), denied: map[netip.Addr]bool{}}
		known.search = s
	}
	if denying.IsValid() {
		s.denied[denying] = true
	}
	if t.notFound(now, s) {
		return t.giveUp(key, known, ReasonNotFound)
	}
	if now.Sub(s.round) >= roundTime || (!s.wide && s.exhausted()) {
		s.widen(now, t.view)
	}
	if s.copies >= maxCopies || len(s.asked) == 0 {
		return Verdict{Reason: ReasonSearching}
	}
	if s.wide && !t.spend(now, len(s.asked)) {
		return Verdict{Reason: ReasonSearchBudget}
	}
	s.copies++
	return Verdict{Action: ActionSearch, Reason: ReasonUnknownFlow, Agents: s.asked}
}

// exhausted reports whether all agents of the round have denied the flow.
func (s *search) exhausted() bool {
	for _, vm := range s.asked {
		if !s.denied[vm] {
			return false
		}
	}
	return true
}

// widen begins a round that asks all agents that have not denied the flow.
func (s *search) widen(now model.Instant, view *View) {
	s.wide, s.round, s.copies, s.asked = true, now, 0, nil
	for vm, agent := range view.Agents {
		if agent.State != AgentGone && !s.denied[vm] {
			s.asked = append(s.asked, vm)
		}
	}
}

// spend takes copies from the budget, unless it is used up.
func (t *Table) spend(now model.Instant, copies int) bool {
	t.credit = min(copyBurst, t.credit+copyRate*now.Sub(t.credited).Seconds())
	t.credited = now
	if t.credit < float64(copies) {
		return false
	}
	t.credit -= float64(copies)
	return true
}

// Denied takes an agent's word that it does not hold a flow. The packet is one
// that the agent was sent because the table named it, or a copy of a search.
func (t *Table) Denied(now model.Instant, p flow.Packet, agent netip.Addr) Verdict {
	key := p.FromClient()
	known := t.records[key]
	if known == nil || !known.heard {
		return Verdict{Reason: ReasonEnded}
	}
	if known.agent == agent {
		known.agent = netip.Addr{}
		return t.find(now, key, known, agent)
	}
	if known.agent.IsValid() || known.search == nil {
		return Verdict{Reason: ReasonKnown}
	}
	s := known.search
	s.denied[agent] = true
	if t.notFound(now, s) {
		return t.giveUp(key, known, ReasonNotFound)
	}
	if !s.wide && s.exhausted() {
		return t.find(now, key, known, agent)
	}
	return Verdict{Reason: ReasonSearching}
}

// notFound reports whether it is proven that no target holds a flow: every agent
// has denied it or is lost, and the balancer knows all agents.
func (t *Table) notFound(now model.Instant, s *search) bool {
	if !t.settled(now) || !t.view.connected(now) {
		return false
	}
	for vm, agent := range t.view.Agents {
		if !s.denied[vm] && !agent.lost(now) {
			return false
		}
	}
	return true
}

// settled reports whether the balancer knows all agents that may hold a flow.
func (t *Table) settled(now model.Instant) bool {
	return t.view.Listed || now.Sub(t.started) >= unsettledTime
}

// Claimed takes an agent's word that it holds a flow.
func (t *Table) Claimed(now model.Instant, key flow.Key, agent netip.Addr) {
	known := t.records[key]
	if known == nil {
		if len(t.records) >= t.limits.Flows {
			return
		}
		known = &record{seen: now}
		t.records[key] = known
	}
	known.agent, known.opened = agent, true
	known.search, known.tried = nil, nil
}

// Closed takes an agent's word that a flow has ended.
func (t *Table) Closed(key flow.Key, agent netip.Addr) {
	if known := t.records[key]; known != nil && known.agent == agent {
		delete(t.records, key)
	}
}

// agentLost reports whether a flow's agent is lost, so that its flows can be
// given up.
func (t *Table) agentLost(now model.Instant, vm netip.Addr) bool {
	agent := t.view.Agents[vm]
	if agent == nil || !agent.lost(now) {
		return false
	}
	return agent.State == AgentGone || (t.settled(now) && t.view.connected(now))
}

func (t *Table) giveUp(key flow.Key, known *record, why Reason) Verdict {
	delete(t.records, key)
	return Verdict{Action: ActionReset, Reason: why, Sequence: known.clientAck}
}

// Loss is a flow that is given up without a packet at hand.
type Loss struct {
	Key     flow.Key
	Verdict Verdict
}

// Expire removes flows that have rested for too long, and gives up those whose
// agent is lost. It is called a few times a second.
func (t *Table) Expire(now model.Instant) []Loss {
	idle := idleFallback
	if t.view.State != nil && t.view.State.Config != nil && t.view.State.Config.IdleTimeout > 0 {
		idle = t.view.State.Config.IdleTimeout
	}
	lost := map[netip.Addr]bool{}
	for vm := range t.view.Agents {
		lost[vm] = t.agentLost(now, vm)
	}
	var losses []Loss
	for key, known := range t.records {
		switch {
		case known.heard && now.Sub(known.seen) > idle+roundTime,
			now.Sub(known.seen) > max(idle, t.limits.Lifetime):
			delete(t.records, key)
		case lost[known.agent] && known.heard && known.opened:
			losses = append(losses, Loss{Key: key, Verdict: t.giveUp(key, known, ReasonAgentLost)})
		case lost[known.agent] && known.opened:
			delete(t.records, key)
		}
	}
	return losses
}
