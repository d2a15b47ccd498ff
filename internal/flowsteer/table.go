package flowsteer

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/targetgate"
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
	// ActionLookup asks all agents about the packet's flow.
	ActionLookup
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
	// ReasonUnverifiedRoute tells that no route is known, and that the knowledge is
	// too old to say that there is none.
	ReasonUnverifiedRoute
	// ReasonNoTarget tells that no target takes new flows.
	ReasonNoTarget
	// ReasonRefused tells that all agents that were tried refused the flow.
	ReasonRefused
	// ReasonNoCapacity tells that all targets have as many flows waiting as they can
	// take in time.
	ReasonNoCapacity
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
	// ReasonFound tells that the flow's agent has been found.
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

// Verdict tells what becomes of a packet.
type Verdict struct {
	Action Action
	Reason Reason
	Agent  netip.Addr
	// Agents are those that a search asks.
	Agents []netip.Addr
	// Sequence goes into a reset.
	Sequence uint32
	// Packet is the packet that was held, if the verdict is not on the one at hand.
	Packet []byte
}

const (
	// maxTries is how many agents a new flow is offered to. Each costs a round
	// trip between VMs.
	maxTries = 4
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

// Table is the flows of one balancer. It is not safe for concurrent use.
type Table struct {
	started model.Instant
	limits  Limits
	view    *View
	// awake is when the table was last used, and resumed when it was used again
	// after a pause.
	awake   model.Instant
	resumed model.Instant
	records map[flow.Key]*record
	// placed counts the new flows of each agent since its last report.
	placed map[netip.Addr]int
	// asking are the flows that all agents are asked about, and held the number of
	// packets that wait for the end of a search.
	asking map[flow.Key]*record
	held   int
	// unanswered is when an agent was first asked a question since its last answer.
	unanswered map[netip.Addr]model.Instant
	// credit is the number of copies that may go to unsure agents, as of credited.
	credit   float64
	credited model.Instant
}

// Limits bound a table.
type Limits struct {
	// MaxFlows is the number of flows that the table holds.
	MaxFlows int
	// MaxLifetime is the longest life of a flow.
	MaxLifetime time.Duration
}

// NewTable makes an empty table.
func NewTable(limits Limits, now model.Instant) *Table {
	return &Table{
		started: now,
		limits:  limits,
		view:    &View{},
		records: map[flow.Key]*record{},
		placed:  map[netip.Addr]int{},
		asking:  map[flow.Key]*record{}, unanswered: map[netip.Addr]model.Instant{},
		credit: copyBurst, credited: now,
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

// wake notes the time, and that the balancer was paused.
func (t *Table) wake(now model.Instant) {
	if t.awake != 0 && now.Sub(t.awake) > pauseNoticed {
		t.resumed = now
	}
	t.awake = now
}

// ClientPacket decides on a packet from a client.
func (t *Table) ClientPacket(now model.Instant, p flow.Packet) Verdict {
	t.wake(now)
	key := p.KeyFromClient()
	known := t.records[key]
	if p.Opening() {
		return t.open(now, p, key, known)
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
		known = &record{}
	}
	known.seen = now
	return t.offer(now, p, key, known, ReasonPlaced)
}

// offer sends an opening packet to the best agent that has not refused it.
func (t *Table) offer(now model.Instant, p flow.Packet, key flow.Key, known *record, why Reason) Verdict {
	route := t.view.State.Config.Routes[key.Service]
	if route == nil || len(route.Services) == 0 {
		delete(t.records, key)
		if now.Sub(t.view.VerifiedAt) > provenTime {
			return Verdict{Reason: ReasonUnverifiedRoute}
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
			return Verdict{Reason: ReasonNoCapacity}
		}
		return Verdict{Action: ActionReset, Reason: ReasonNoCapacity}
	}
	if now.Sub(t.started) < unsettledTime {
		// The first reports of agents and heartbeats of targets are on their way.
		return Verdict{Reason: ReasonNoTarget}
	}
	return Verdict{Action: ActionReset, Reason: ReasonNoTarget}
}

// serving reports whether any target of a route takes new flows at all.
func (t *Table) serving(now model.Instant, route *routing.Route) bool {
	for _, choice := range route.Services {
		for _, agent := range t.view.ByService[choice.Service] {
			if choice.Weight > 0 && agent.takes(now, t.view.State) {
				return true
			}
		}
	}
	return false
}

// OpeningRefused decides on an opening packet that an agent returned.
func (t *Table) OpeningRefused(now model.Instant, p flow.Packet, agent netip.Addr, why targetgate.Reason) Verdict {
	key := p.KeyFromClient()
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
	case targetgate.ReasonCold, targetgate.ReasonBusy:
		if p.Acknowledged < lastCopy {
			return Verdict{Reason: ReasonNoCapacity}
		}
	case targetgate.ReasonNoState, targetgate.ReasonNoRoute, targetgate.ReasonOtherService, targetgate.ReasonNoTarget:
		return Verdict{Reason: ReasonRefused}
	}
	return Verdict{Action: ActionReset, Reason: ReasonRefused}
}

// FlowHeld takes an agent's word that it holds a flow, and decides on the packet
// that was held meanwhile.
func (t *Table) FlowHeld(now model.Instant, key flow.Key, agent netip.Addr) Verdict {
	delete(t.unanswered, agent)
	known := t.records[key]
	if known == nil {
		if len(t.records) >= t.limits.MaxFlows {
			return Verdict{Reason: ReasonTableFull}
		}
		known = &record{seen: now}
		t.records[key] = known
	}
	held := t.endSearch(key, known)
	known.agent, known.opened, known.tried = agent, true, nil
	if held == nil {
		return Verdict{Reason: ReasonKnown}
	}
	return Verdict{Action: ActionForward, Reason: ReasonFound, Agent: agent, Packet: held}
}

// agentLost reports whether a flow's agent is lost, so that its flows can be
// given up.
func (t *Table) agentLost(now model.Instant, vm netip.Addr) bool {
	agent := t.view.Agents[vm]
	if agent == nil || !agent.lost(now, t.resumed) {
		return false
	}
	return agent.State == AgentGone || (t.settled(now) && t.view.connected(now))
}

func (t *Table) giveUp(key flow.Key, known *record, why Reason) Verdict {
	t.remove(key, known)
	return Verdict{Action: ActionReset, Reason: why, Sequence: known.clientAck}
}

func (t *Table) remove(key flow.Key, known *record) {
	t.endSearch(key, known)
	delete(t.records, key)
}

// AbandonedFlow is a flow that is given up without a packet at hand.
type AbandonedFlow struct {
	Key     flow.Key
	Verdict Verdict
}

// Expire removes flows that have rested for too long, and gives up those whose
// agent is lost and those that are nowhere since an agent is lost. It is called a few times a second.
func (t *Table) Expire(now model.Instant) []AbandonedFlow {
	t.wake(now)
	idle := idleFallback
	if t.view.State != nil && t.view.State.Config != nil && t.view.State.Config.IdleTimeout > 0 {
		idle = t.view.State.Config.IdleTimeout
	}
	lost := map[netip.Addr]bool{}
	for vm := range t.view.Agents {
		lost[vm] = t.agentLost(now, vm)
	}
	var losses []AbandonedFlow
	for key, known := range t.records {
		switch {
		case known.heard && now.Sub(known.seen) > idle+roundTime,
			now.Sub(known.seen) > max(idle, t.limits.MaxLifetime):
			t.remove(key, known)
		case lost[known.agent] && known.heard && known.opened:
			losses = append(losses, AbandonedFlow{Key: key, Verdict: t.giveUp(key, known, ReasonAgentLost)})
		case lost[known.agent] && known.opened:
			t.remove(key, known)
		}
	}
	for key, known := range t.asking {
		if t.notFound(now, known.search) {
			losses = append(losses, AbandonedFlow{Key: key, Verdict: t.giveUp(key, known, ReasonNotFound)})
		}
	}
	return losses
}
